#include "rankagent/internal/demandtracker.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever::rankagent;

namespace {

constexpr size_t kExperts = 4;

}

TEST_GROUP(DemandTracker)
{
  DemandTracker mTracker{ 1, kExperts };
  std::vector<uint64_t> mCounts = std::vector<uint64_t>(kExperts, 0);
  uint64_t mEpoch = 1;

  /** Adds a window in which only one expert is selected. */
  void Choose(size_t aExpert, uint64_t aTimes)
  {
    mCounts[aExpert] += aTimes;
    RankSample sample{ .mState = { .mGroup = "g", .mEpoch = mEpoch },
                       .mCounts = mCounts };
    mTracker.AddSamples({ std::move(sample) });
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
  mTracker.AddSamples({ sample(0, 0), sample(0, 0) });
  mTracker.AddSamples({ sample(1000, 0), notCounted });

  mTracker.AddSamples({ sample(2000, 0), sample(0, 90000) });

  DOUBLES_EQUAL(0, mTracker.Demand(0)[1], 0.001);
}
