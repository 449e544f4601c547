#include "rebalancing/planner.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever::rebalancing;

namespace {

constexpr PlannerLimits kCheap{ .mExpertBytes = 1000,
                                .mBytesPerSecond = 1e6,
                                .mHorizon = std::chrono::seconds(300),
                                .mMaxMoves = 16 };

Loads
OneHot()
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

  const Plan plan = Planner(kCheap).Improve(placement, OneHot());

  CHECK(plan.mMoves <= 6);
  CHECK(plan.mPlacement.Skew(OneHot()) < 1.3);
  CHECK(plan.mPlacement.Skew(OneHot()) < placement.Skew(OneHot()));
}

TEST(Planner, RejectsAMoveThatCostsMoreThanItSaves)
{
  PlannerLimits expensive = kCheap;
  expensive.mBytesPerSecond = 1;

  const Plan plan =
    Planner(expensive).Improve(Placement::RoundRobin(16, 4, 6), OneHot());

  CHECK_EQUAL(0u, plan.mMoves);
}

TEST(Planner, NoExpertLosesItsLastReplica)
{
  const Plan plan =
    Planner(kCheap).Improve(Placement::RoundRobin(16, 4, 5), OneHot());

  for (Expert expert = 0; expert < 16; ++expert) {
    CHECK(plan.mPlacement.Replicas(expert) >= 1);
  }
}
