#pragma once

#include "framework/global/iclock.h"
#include "rankagent/internal/groupport.h"
#include "rebalancing/popularity.h"

#include <optional>
#include <vector>

namespace beryllever::rankagent {

/**
 * Estimates the demand for each expert of a group from the cumulative selection
 * counts of its ranks. Demand drifts slowly and occasionally shifts abruptly to
 * other experts. What counts as a shift depends on how much the group's windows
 * differ anyway, which its size and load decide.
 */
class DemandTracker
{
public:
  DemandTracker(size_t aLayers, size_t aExperts);

  /** Adds one sample of every rank, read at aNow. Samples without counts are
   * ignored. */
  void AddSamples(const std::vector<std::optional<RankSample>>& aSamples,
                  global::TimePoint aNow);
  /** Whether demand shifted during the last window, which then mixes old and
   * new demand. The next window shows the new demand alone. */
  bool IsShifting() const { return mIsShifting; }
  bool HasDemand() const { return mWindows > 0; }
  /** Time for which demand is expected to stay as it is, from the intervals
   * between its last shifts. */
  global::Duration ExpectedStay(global::TimePoint aNow) const;
  /** Smoothed number of selections per window of each expert of a layer. */
  const rebalancing::Loads& Demand(size_t aLayer) const
  {
    return mEstimate[aLayer].Smoothed();
  }

private:
  using Windows = std::vector<rebalancing::Loads>;

  /** Returns the selections since the previous samples, by layer and expert. */
  Windows ComputeWindow(const std::vector<std::optional<RankSample>>& aSamples);
  void AddWindow(const Windows& aWindow, global::TimePoint aNow);
  void RecordShift(global::TimePoint aNow);

  const size_t mLayers;
  const size_t mExperts;
  uint64_t mEpoch = 0;
  std::vector<std::vector<uint64_t>> mLastCounts;
  std::vector<rebalancing::Popularity> mEstimate;
  std::vector<rebalancing::Popularity> mLastWindow;
  /** Windows that the estimate averages. */
  size_t mWindows = 0;
  /** Smoothed distance between consecutive windows of steady demand. */
  std::optional<double> mSteadyDistance;
  bool mIsShifting = false;
  std::optional<global::TimePoint> mShiftedAt;
  /** Smoothed interval between shifts. */
  std::optional<global::Duration> mShiftInterval;
};

}
