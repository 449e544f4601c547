#include "rebalancing/layerplanner.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <numeric>
#include <random>

using namespace beryllever::rebalancing;

namespace {

constexpr size_t kExperts = 72;
constexpr size_t kRanks = 12;
constexpr LayerLimits kLimits{ .mPlacesPerRank = 8, .mNewPerRank = 3 };

RankLists
InTurn()
{
  RankLists lists(kRanks);
  for (Expert expert = 0; expert < kExperts; ++expert) {
    lists[expert % kRanks].push_back(expert);
  }
  return lists;
}

/** A few experts get most of the load. */
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
NewAt(const std::vector<Expert>& aNew, const std::vector<Expert>& aOld)
{
  return static_cast<size_t>(
    std::count_if(aNew.begin(), aNew.end(), [&](Expert aExpert) {
      return std::find(aOld.begin(), aOld.end(), aExpert) == aOld.end();
    }));
}

}

TEST_GROUP(LayerPlanner){};

TEST(LayerPlanner, KeepsTheLimitsOfOneChange)
{
  const LayerPlanner planner(kLimits);
  RankLists lists = InTurn();
  for (uint64_t seed = 0; seed < 200; ++seed) {
    const RankLists better = planner.Improve(lists, SkewedLoads(seed));

    std::vector<size_t> holders(kExperts, 0);
    for (Rank rank = 0; rank < kRanks; ++rank) {
      CHECK(better[rank].size() <= kLimits.mPlacesPerRank);
      CHECK(NewAt(better[rank], lists[rank]) <= kLimits.mNewPerRank);
      std::vector<Expert> sorted = better[rank];
      std::sort(sorted.begin(), sorted.end());
      CHECK(std::adjacent_find(sorted.begin(), sorted.end()) == sorted.end());
      for (const Expert expert : sorted) {
        ++holders[expert];
      }
    }
    CHECK(std::count(holders.begin(), holders.end(), 0u) == 0);
    lists = better;
  }
}

TEST(LayerPlanner, ComesNearTheMeanInThreeChanges)
{
  const LayerPlanner planner(kLimits);
  for (uint64_t seed = 0; seed < 50; ++seed) {
    const Loads loads = SkewedLoads(seed);
    RankLists lists = InTurn();
    for (int i = 0; i < 3; ++i) {
      const double before = LargestLoad(lists, loads);
      lists = planner.Improve(lists, loads);
      CHECK(LargestLoad(lists, loads) <= before);
    }
    const double mean =
      std::accumulate(loads.begin(), loads.end(), 0.0) / kRanks;
    CHECK(LargestLoad(lists, loads) < 1.3 * mean);
  }
}

TEST(LayerPlanner, TakesLoadOffARankThatHasTurnedSlow)
{
  const LayerPlanner planner(kLimits);
  const Loads loads(kExperts, 10);
  Paces paces(kRanks, 1);
  paces[3] = 5;
  RankLists lists = InTurn();
  const double before = LargestLoad(lists, loads, paces);
  for (int i = 0; i < 3; ++i) {
    lists = planner.Improve(lists, loads, paces);
  }
  CHECK(LargestLoad(lists, loads, paces) < 0.5 * before);
}
