#include "distribution/snapshotgate.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever;

TEST_GROUP(SnapshotGate)
{
  global::ManualClock clock;
};

TEST(SnapshotGate, OpensWhenAPeerAnswersOrAtTheTimeLimit)
{
  distribution::SnapshotGate answered(clock, true);
  distribution::SnapshotGate unanswered(clock, true);
  CHECK_FALSE(answered.IsOpen());

  answered.HandlePeerAnswer();
  CHECK(answered.IsOpen());
  CHECK_FALSE(unanswered.IsOpen());

  clock.Advance(std::chrono::seconds(2));
  CHECK(unanswered.IsOpen());
}

TEST(SnapshotGate, IsOpenFromTheStartWithoutPeers)
{
  CHECK(distribution::SnapshotGate(clock, false).IsOpen());
}
