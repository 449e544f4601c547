#include "rankagent/internal/mapplanner.h"

#include "rebalancing/copyplanner.h"

#include <numeric>

namespace beryllever::rankagent {

namespace {

/** Fraction of the time of passes that a change must save. */
constexpr double kMinSaving = 0.03;
/** Fraction of a layer's largest rank load that each copied expert must save. A
 * copy takes memory bandwidth, and demand changes within seconds. */
constexpr double kMinGainPerCopy = 0.03;
/** Time from a plan to the first pass with its map, beside the copies. */
constexpr rebalancing::Seconds kChangeTime{ 0.15 };
/** Fraction by which passes take longer while a rank copies experts. */
constexpr double kCopySlowdown = 0.15;
constexpr double kMegabitsPerMegabyte = 8;

rebalancing::Seconds
ExpertCopyTime(const published::EngineProfile& aEngine)
{
  if (aEngine.mLinkMegabitsPerSecond <= 0) {
    return rebalancing::Seconds(0);
  }
  return rebalancing::Seconds(aEngine.mExpertMegabytes * kMegabitsPerMegabyte /
                              aEngine.mLinkMegabitsPerSecond);
}

std::vector<rebalancing::ExpertsByRank>
ToLayers(const ExpertMap& aMap)
{
  std::vector<rebalancing::ExpertsByRank> layers;
  for (const auto& ranks : aMap) {
    layers.emplace_back();
    for (const auto& experts : ranks) {
      layers.back().emplace_back(experts.begin(), experts.end());
    }
  }
  return layers;
}

ExpertMap
ToMap(const std::vector<rebalancing::ExpertsByRank>& aLayers)
{
  ExpertMap map;
  for (const rebalancing::ExpertsByRank& layer : aLayers) {
    map.emplace_back();
    for (const auto& experts : layer) {
      map.back().emplace_back(experts.begin(), experts.end());
    }
  }
  return map;
}

}

bool
MapPlan::IsWorthwhile() const
{
  return mSaving >= kMinSaving;
}

MapPlan
PlanMap(const published::EngineProfile& aEngine,
        const ExpertMap& aCurrent,
        const DemandTracker& aDemand,
        const std::vector<double>& aSlowdowns,
        global::Duration aStay)
{
  const rebalancing::Seconds copyTime = ExpertCopyTime(aEngine);
  const rebalancing::CopyPlanner planner(
    { static_cast<size_t>(aEngine.mPlacesPerRank),
      static_cast<size_t>(aEngine.mSparePerRank),
      kMinGainPerCopy },
    { copyTime, kChangeTime, kCopySlowdown, aStay });
  MapPlan plan;
  std::vector<rebalancing::Loads> loads;
  for (size_t layer = 0; layer < aCurrent.size(); ++layer) {
    loads.push_back(aDemand.Demand(layer));
    plan.mEvenLoad +=
      std::accumulate(loads.back().begin(), loads.back().end(), 0.0) /
      static_cast<double>(aCurrent[layer].size());
  }
  const rebalancing::CopyPlan copies =
    planner.Improve(ToLayers(aCurrent), loads, aSlowdowns);
  plan.mMap = ToMap(copies.mLayers);
  plan.mLoadBefore = copies.mLoadBefore;
  plan.mLoadAfter = copies.mLoadAfter;
  plan.mSaving = copies.mSaving;
  plan.mCopies = copies.mCopies;
  plan.mCopyTime = std::chrono::duration_cast<global::Duration>(
    copyTime * static_cast<double>(copies.mCopies));
  return plan;
}

}
