#include "rebalancing/planner.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever::rebalancing;

namespace {

constexpr PlannerLimits kCheap{ .mExpertBytes = 1000,
                                .mBytesPerSecond = 1e6,
                                .mHorizon = std::chrono::seconds(300),
                                .mMaxMoves = 16 };

/** Loads of 16 experts, one of which has 16 times the load of each other. */
Loads
LoadsWithOneHeavyExpert()
{
  Loads loads(16, 1.0);
  loads[5] = 16;
  return loads;
}

}

TEST_GROUP(Planner){};

TEST(Planner, AFewMovesRemoveMostOfTheSkew)
{
  const auto placement = Placement::RoundRobin(16, 4, 6);

  const Plan plan =
    Planner(kCheap).Improve(placement, LoadsWithOneHeavyExpert());

  CHECK(plan.mMoves <= 6);
  CHECK(plan.mPlacement.Skew(LoadsWithOneHeavyExpert()) < 1.3);
  CHECK(plan.mPlacement.Skew(LoadsWithOneHeavyExpert()) <
        placement.Skew(LoadsWithOneHeavyExpert()));
}

TEST(Planner, RejectsAMoveThatCostsMoreThanItSaves)
{
  PlannerLimits expensive = kCheap;
  expensive.mBytesPerSecond = 1;

  const Plan plan = Planner(expensive).Improve(Placement::RoundRobin(16, 4, 6),
                                               LoadsWithOneHeavyExpert());

  CHECK_EQUAL(0u, plan.mMoves);
}

TEST(Planner, NoExpertLosesItsLastReplica)
{
  const Plan plan = Planner(kCheap).Improve(Placement::RoundRobin(16, 4, 5),
                                            LoadsWithOneHeavyExpert());

  for (Expert expert = 0; expert < 16; ++expert) {
    CHECK(plan.mPlacement.Replicas(expert) >= 1);
  }
}
