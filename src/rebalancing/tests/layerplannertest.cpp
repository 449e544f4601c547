#include "rebalancing/layerplanner.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <numeric>
#include <random>

using namespace beryllever::rebalancing;

namespace {

constexpr size_t kExperts = 72;
constexpr size_t kRanks = 12;
constexpr LayerLimits kLimits{ .mSlotsPerRank = 8, .mMaxNewPerRank = 3 };

ExpertsByRank
RoundRobinExperts()
{
  ExpertsByRank lists(kRanks);
  for (Expert expert = 0; expert < kExperts; ++expert) {
    lists[expert % kRanks].push_back(expert);
  }
  return lists;
}

/** Zipf-distributed loads in random order. */
Loads
SkewedLoads(uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  Loads loads(kExperts);
  for (Expert expert = 0; expert < kExperts; ++expert) {
    loads[expert] = 1000.0 / static_cast<double>(expert + 1);
  }
  std::shuffle(loads.begin(), loads.end(), random);
  return loads;
}

size_t
CountAdded(const std::vector<Expert>& aNew, const std::vector<Expert>& aOld)
{
  return static_cast<size_t>(
    std::count_if(aNew.begin(), aNew.end(), [&](Expert aExpert) {
      return std::find(aOld.begin(), aOld.end(), aExpert) == aOld.end();
    }));
}

}

TEST_GROUP(LayerPlanner){};

TEST(LayerPlanner, RespectsTheLimitsOfOneChange)
{
  const LayerPlanner planner(kLimits);
  ExpertsByRank lists = RoundRobinExperts();
  for (uint64_t seed = 0; seed < 200; ++seed) {
    const ExpertsByRank improved = planner.Improve(lists, SkewedLoads(seed));

    std::vector<size_t> holders(kExperts, 0);
    for (Rank rank = 0; rank < kRanks; ++rank) {
      CHECK(improved[rank].size() <= kLimits.mSlotsPerRank);
      CHECK(CountAdded(improved[rank], lists[rank]) <= kLimits.mMaxNewPerRank);
      std::vector<Expert> sorted = improved[rank];
      std::sort(sorted.begin(), sorted.end());
      CHECK(std::adjacent_find(sorted.begin(), sorted.end()) == sorted.end());
      for (const Expert expert : sorted) {
        ++holders[expert];
      }
    }
    CHECK(std::count(holders.begin(), holders.end(), 0u) == 0);
    lists = improved;
  }
}

TEST(LayerPlanner, ApproachesTheMeanLoadInThreeChanges)
{
  const LayerPlanner planner(kLimits);
  for (uint64_t seed = 0; seed < 50; ++seed) {
    const Loads loads = SkewedLoads(seed);
    ExpertsByRank lists = RoundRobinExperts();
    for (int i = 0; i < 3; ++i) {
      const double before = MaxRankLoad(lists, loads);
      lists = planner.Improve(lists, loads);
      CHECK(MaxRankLoad(lists, loads) <= before);
    }
    const double mean =
      std::accumulate(loads.begin(), loads.end(), 0.0) / kRanks;
    CHECK(MaxRankLoad(lists, loads) < 1.3 * mean);
  }
}

TEST(LayerPlanner, MovesLoadOffASlowRank)
{
  const LayerPlanner planner(kLimits);
  const Loads loads(kExperts, 10);
  Slowdowns slowdowns(kRanks, 1);
  slowdowns[3] = 5;
  ExpertsByRank lists = RoundRobinExperts();
  const double before = MaxRankLoad(lists, loads, slowdowns);
  for (int i = 0; i < 3; ++i) {
    lists = planner.Improve(lists, loads, slowdowns);
  }
  CHECK(MaxRankLoad(lists, loads, slowdowns) < 0.5 * before);
}
