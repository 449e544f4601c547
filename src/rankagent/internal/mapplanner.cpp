#include "rankagent/internal/mapplanner.h"

#include "rebalancing/layerplanner.h"

#include <numeric>

namespace beryllever::rankagent {

namespace {

/** Fraction by which a new map must reduce the sum, over all layers, of the
 * load of the most loaded rank. */
constexpr double kMinGain = 0.12;
/** Fraction of a layer's largest rank load that each copied expert must save. A
 * copy takes memory bandwidth, and demand changes within seconds. */
constexpr double kMinGainPerCopy = 0.03;

}

bool
MapPlan::IsWorthwhile() const
{
  return mLoadBefore > 0 && mLoadAfter <= mLoadBefore * (1 - kMinGain);
}

MapPlan
PlanMap(const published::EngineProfile& aEngine,
        const ExpertMap& aCurrent,
        const DemandTracker& aDemand,
        const std::vector<double>& aSlowdowns)
{
  const rebalancing::LayerPlanner planner(
    { static_cast<size_t>(aEngine.mPlacesPerRank),
      static_cast<size_t>(aEngine.mSparePerRank),
      kMinGainPerCopy });
  MapPlan plan;
  for (size_t layer = 0; layer < aCurrent.size(); ++layer) {
    rebalancing::ExpertsByRank lists;
    for (const auto& experts : aCurrent[layer]) {
      lists.emplace_back(experts.begin(), experts.end());
    }
    const rebalancing::Loads& loads = aDemand.Demand(layer);
    const rebalancing::ExpertsByRank improved =
      planner.Improve(lists, loads, aSlowdowns);
    plan.mLoadBefore += rebalancing::MaxRankLoad(lists, loads, aSlowdowns);
    plan.mLoadAfter += rebalancing::MaxRankLoad(improved, loads, aSlowdowns);
    plan.mEvenLoad += std::accumulate(loads.begin(), loads.end(), 0.0) /
                      static_cast<double>(lists.size());
    plan.mMap.emplace_back();
    for (const auto& experts : improved) {
      plan.mMap.back().emplace_back(experts.begin(), experts.end());
    }
  }
  return plan;
}

}
