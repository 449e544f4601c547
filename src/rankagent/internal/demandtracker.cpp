#include "rankagent/internal/demandtracker.h"

#include "framework/log/log.h"

#include <numeric>

namespace beryllever::rankagent {

namespace {

constexpr char kLogTag[] = "group";
/** Weight of a new window in the moving average. Demand shifts every few
 * seconds and has to be followed within one second. */
constexpr double kWindowWeight = 0.15;
/** Distance of a window from the moving average above which demand has shifted.
 * Windows of steady demand differ by less than 0.2. */
constexpr double kShiftDistance = 0.27;
/** Weight of a window in which demand has shifted. */
constexpr double kShiftWeight = 0.85;
/** Windows with fewer selections carry too little information and are ignored.
 */
constexpr double kMinSelections = 200;

}

DemandTracker::DemandTracker(size_t aLayers, size_t aExperts)
  : mLayers(aLayers)
  , mExperts(aExperts)
  , mPopularity(aLayers, rebalancing::Popularity(aExperts))
{
}

std::vector<rebalancing::Loads>
DemandTracker::ComputeWindow(
  const std::vector<std::optional<RankSample>>& aSamples)
{
  std::vector<rebalancing::Loads> window(mLayers,
                                         rebalancing::Loads(mExperts, 0));
  for (size_t rank = 0; rank < aSamples.size(); ++rank) {
    const std::vector<uint64_t>& counts = aSamples[rank]->mCounts;
    std::vector<uint64_t>& last = mLastCounts[rank];
    if (counts.size() != mLayers * mExperts) {
      continue;
    }
    for (size_t i = 0; i < counts.size() && last.size() == counts.size(); ++i) {
      // The counts of a restarted rank begin at 0.
      const uint64_t chosen = counts[i] >= last[i] ? counts[i] - last[i] : 0;
      window[i / mExperts][i % mExperts] += static_cast<double>(chosen);
    }
    last = counts;
  }
  return window;
}

void
DemandTracker::AddSamples(
  const std::vector<std::optional<RankSample>>& aSamples)
{
  const RankState& first = aSamples[0]->mState;
  if (mLastCounts.size() != aSamples.size() || mEpoch != first.mEpoch) {
    // The counts restart, but the demand of the callers does not change.
    mEpoch = first.mEpoch;
    mLastCounts.assign(aSamples.size(), {});
  }
  const std::vector<rebalancing::Loads> window = ComputeWindow(aSamples);
  double sum = 0;
  double distance = 0;
  for (size_t layer = 0; layer < mLayers; ++layer) {
    sum += std::accumulate(window[layer].begin(), window[layer].end(), 0.0);
    distance += mPopularity[layer].DistanceTo(window[layer]) /
                static_cast<double>(mLayers);
  }
  if (sum < kMinSelections) {
    return;
  }
  const bool hasShifted = distance > kShiftDistance;
  if (hasShifted && !mHasShifted) {
    LOGI("Demand for experts has shifted. group=" << first.mGroup
                                                  << " distance=" << distance);
  }
  mHasShifted = hasShifted;
  mHasDemand = true;
  for (size_t layer = 0; layer < mLayers; ++layer) {
    mPopularity[layer].AddWindow(window[layer],
                                 hasShifted ? kShiftWeight : kWindowWeight);
  }
}

}
