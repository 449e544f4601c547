#include "distribution/snapshotgate.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever;

TEST_GROUP(SnapshotGate)
{
  global::ManualClock clock;
};

TEST(SnapshotGate, AStartWaitsForAPeerOrTheLimit)
{
  distribution::SnapshotGate heard(clock, true);
  distribution::SnapshotGate alone(clock, true);
  CHECK_FALSE(heard.IsOpen());

  heard.TakePeerAnswer();
  CHECK(heard.IsOpen());
  CHECK_FALSE(alone.IsOpen());

  clock.Advance(std::chrono::seconds(2));
  CHECK(alone.IsOpen());
}

TEST(SnapshotGate, WithoutPeersNothingIsHeldBack)
{
  CHECK(distribution::SnapshotGate(clock, false).IsOpen());
}
