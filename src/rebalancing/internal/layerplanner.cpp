#include "rebalancing/layerplanner.h"

#include "rebalancing/internal/layersearch.h"

#include <algorithm>
#include <limits>

namespace beryllever::rebalancing {

namespace {

double
SlowdownOf(const Slowdowns& aSlowdowns, Rank aRank)
{
  return aSlowdowns.empty() ? 1 : aSlowdowns[aRank];
}

}

double
MaxRankLoad(const ExpertsByRank& aExperts,
            const Loads& aLoads,
            const Slowdowns& aSlowdowns)
{
  std::vector<size_t> holders(aLoads.size(), 0);
  for (const auto& list : aExperts) {
    for (const Expert expert : list) {
      ++holders[expert];
    }
  }
  double largest = 0;
  for (Rank rank = 0; rank < aExperts.size(); ++rank) {
    double load = 0;
    for (const Expert expert : aExperts[rank]) {
      load += aLoads[expert] / static_cast<double>(holders[expert]);
    }
    largest = std::max(largest, load * SlowdownOf(aSlowdowns, rank));
  }
  return largest;
}

LayerPlanner::LayerPlanner(const LayerLimits& aLimits)
  : mLimits(aLimits)
{
}

ExpertsByRank
LayerPlanner::Improve(const ExpertsByRank& aCurrent,
                      const Loads& aLoads,
                      const Slowdowns& aSlowdowns) const
{
  CopyBudget budget(aCurrent.size(), std::numeric_limits<size_t>::max() / 2);
  LayerSearch search(mLimits, aCurrent, aLoads, aSlowdowns, budget);
  for (size_t i = 0; i < search.MaxSteps(); ++i) {
    const auto candidate = search.FindBest();
    if (!candidate) {
      break;
    }
    search.Apply(*candidate);
  }
  return search.Experts();
}

}
