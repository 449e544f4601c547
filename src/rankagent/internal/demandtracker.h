#pragma once

#include "rankagent/internal/groupport.h"
#include "rebalancing/popularity.h"

#include <optional>
#include <vector>

namespace beryllever::rankagent {

/**
 * How much each expert of a group is in demand, from the growing counts of its
 * ranks. Demand drifts, and now and then shifts at once to other experts.
 */
class DemandTracker
{
public:
  DemandTracker(size_t aLayers, size_t aExperts);

  /** Takes one reading of all ranks; ranks without counts add nothing. */
  void Take(const std::vector<std::optional<RankSample>>& aSamples);
  /** Whether the last window showed a shift; it mixes old and new demand. */
  bool HasShifted() const { return mHasShifted; }
  /** Whether any demand is known. */
  bool IsKnown() const { return mIsKnown; }
  /** Smoothed choices of each expert of a layer in one window. */
  const rebalancing::Loads& Demand(size_t aLayer) const
  {
    return mPopularity[aLayer].Smoothed();
  }

private:
  /** Choices since the last reading, by layer and expert. */
  std::vector<rebalancing::Loads> TakeWindow(
    const std::vector<std::optional<RankSample>>& aSamples);

  const size_t mLayers;
  const size_t mExperts;
  uint64_t mEpoch = 0;
  std::vector<std::vector<uint64_t>> mLastCounts;
  std::vector<rebalancing::Popularity> mPopularity;
  bool mHasShifted = false;
  bool mIsKnown = false;
};

}
