#include "rankagent/internal/demandtracker.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever::rankagent;

namespace {

constexpr size_t kExperts = 4;
constexpr std::chrono::milliseconds kWindow{ 150 };

}

TEST_GROUP(DemandTracker)
{
  DemandTracker mTracker{ 1, kExperts };
  std::vector<uint64_t> mCounts = std::vector<uint64_t>(kExperts, 0);
  uint64_t mEpoch = 1;
  beryllever::global::TimePoint mNow{};

  /** Adds a window in which only one expert is selected. */
  void Choose(size_t aExpert, uint64_t aTimes)
  {
    mNow += kWindow;
    mCounts[aExpert] += aTimes;
    RankSample sample{ .mState = { .mGroup = "g", .mEpoch = mEpoch },
                       .mCounts = mCounts };
    mTracker.AddSamples({ std::move(sample) }, mNow);
  }
};

TEST(DemandTracker, HasNoDemandAfterTheFirstSample)
{
  Choose(0, 1000);

  CHECK_FALSE(mTracker.HasDemand());
}

TEST(DemandTracker, FollowsAShiftWithinTheNextWindow)
{
  Choose(0, 0);
  Choose(0, 1000);
  Choose(0, 1000);

  Choose(1, 1000);
  CHECK(mTracker.IsShifting());
  Choose(1, 1000);

  CHECK_FALSE(mTracker.IsShifting());
  CHECK(mTracker.Demand(0)[1] > 5 * mTracker.Demand(0)[0]);
}

TEST(DemandTracker, KeepsTheDemandWhenTheGroupReforms)
{
  Choose(0, 0);
  Choose(2, 1000);

  mEpoch = 2;
  mCounts.assign(kExperts, 0);
  Choose(2, 10);

  CHECK(mTracker.HasDemand());
  CHECK(mTracker.Demand(0)[2] > 900);
}

TEST(DemandTracker, IgnoresWindowsWithTooFewSelections)
{
  Choose(0, 0);
  Choose(0, 1000);

  Choose(3, 100);

  CHECK_FALSE(mTracker.IsShifting());
  DOUBLES_EQUAL(0, mTracker.Demand(0)[3], 0.001);
}

TEST(DemandTracker, LeavesOutWhatARankChoseWhileItWasNotCounted)
{
  const auto sample = [](uint64_t aFirst, uint64_t aSecond) {
    return RankSample{ .mState = { .mGroup = "g", .mEpoch = 1 },
                       .mCounts = { aFirst, aSecond, 0, 0 } };
  };
  const RankSample notCounted{ .mState = { .mGroup = "g", .mEpoch = 1 } };
  mTracker.AddSamples({ sample(0, 0), sample(0, 0) }, mNow);
  mTracker.AddSamples({ sample(1000, 0), notCounted }, mNow);

  mTracker.AddSamples({ sample(2000, 0), sample(0, 90000) }, mNow);

  DOUBLES_EQUAL(0, mTracker.Demand(0)[1], 0.001);
}

TEST(DemandTracker, ExpectsDemandToStayAsLongAsItDidBefore)
{
  constexpr int kWindowsPerShift = 20;
  constexpr auto kInterval = kWindow * kWindowsPerShift;
  Choose(0, 0);
  CHECK(mTracker.ExpectedStay(mNow) > kInterval * 2);

  for (int shift = 0; shift < 6; ++shift) {
    for (int i = 0; i < kWindowsPerShift; ++i) {
      Choose(shift % 2, 1000);
    }
  }
  Choose(0, 1000);
  Choose(0, 1000);

  const auto atStart = mTracker.ExpectedStay(mNow);
  CHECK(atStart > kInterval / 2);
  CHECK(atStart <= kInterval);
  for (int i = 0; i < kWindowsPerShift; ++i) {
    Choose(0, 1000);
  }
  const auto atEnd = mTracker.ExpectedStay(mNow);
  CHECK(atEnd < atStart);
  CHECK(atEnd > kInterval / 4);
}
