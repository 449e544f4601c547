#pragma once

#include "rankagent/internal/groupport.h"
#include "rebalancing/popularity.h"

#include <optional>
#include <vector>

namespace beryllever::rankagent {

/**
 * Estimates the demand for each expert of a group from the cumulative selection
 * counts of its ranks. Demand drifts slowly and occasionally shifts abruptly to
 * other experts.
 */
class DemandTracker
{
public:
  DemandTracker(size_t aLayers, size_t aExperts);

  /** Adds one sample of every rank. Samples without counts are ignored. */
  void AddSamples(const std::vector<std::optional<RankSample>>& aSamples);
  /** Whether demand shifted in the last window, which then mixes old and new
   * demand. */
  bool HasShifted() const { return mHasShifted; }
  bool HasDemand() const { return mHasDemand; }
  /** Smoothed number of selections per window of each expert of a layer. */
  const rebalancing::Loads& Demand(size_t aLayer) const
  {
    return mPopularity[aLayer].Smoothed();
  }

private:
  /** Returns the selections since the previous samples, by layer and expert. */
  std::vector<rebalancing::Loads> ComputeWindow(
    const std::vector<std::optional<RankSample>>& aSamples);

  const size_t mLayers;
  const size_t mExperts;
  uint64_t mEpoch = 0;
  std::vector<std::vector<uint64_t>> mLastCounts;
  std::vector<rebalancing::Popularity> mPopularity;
  bool mHasShifted = false;
  bool mHasDemand = false;
};

}
