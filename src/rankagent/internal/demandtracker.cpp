#include "rankagent/internal/demandtracker.h"

#include "framework/log/log.h"

#include <numeric>

namespace beryllever::rankagent {

namespace {

constexpr char kLogTag[] = "group";
/** Weight of the newest window of counts; shifts of demand come every few
 * seconds and have to be followed within one. */
constexpr double kNewestWeight = 0.15;
/** Share of a window that goes to other experts than before, above which demand
 * has shifted; windows of steady demand differ by less than 0.2. */
constexpr double kShiftDistance = 0.27;
/** Weight of a window after a shift. */
constexpr double kShiftWeight = 0.85;
/** Choices below this number in a window tell nothing. */
constexpr double kMinChoices = 200;

}

DemandTracker::DemandTracker(size_t aLayers, size_t aExperts)
  : mLayers(aLayers)
  , mExperts(aExperts)
  , mPopularity(aLayers, rebalancing::Popularity(aExperts))
{
}

std::vector<rebalancing::Loads>
DemandTracker::TakeWindow(
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
      // A rank that has started anew counts from 0.
      const uint64_t chosen = counts[i] >= last[i] ? counts[i] - last[i] : 0;
      window[i / mExperts][i % mExperts] += static_cast<double>(chosen);
    }
    last = counts;
  }
  return window;
}

void
DemandTracker::Take(const std::vector<std::optional<RankSample>>& aSamples)
{
  const RankState& first = aSamples[0]->mState;
  if (mLastCounts.size() != aSamples.size() || mEpoch != first.mEpoch) {
    // Counts begin anew; what callers ask for stays the same.
    mEpoch = first.mEpoch;
    mLastCounts.assign(aSamples.size(), {});
  }
  const std::vector<rebalancing::Loads> window = TakeWindow(aSamples);
  double sum = 0;
  double distance = 0;
  for (size_t layer = 0; layer < mLayers; ++layer) {
    sum += std::accumulate(window[layer].begin(), window[layer].end(), 0.0);
    distance += mPopularity[layer].DistanceTo(window[layer]) /
                static_cast<double>(mLayers);
  }
  if (sum < kMinChoices) {
    return;
  }
  const bool hasShifted = distance > kShiftDistance;
  if (hasShifted && !mHasShifted) {
    LOGI("Demand for experts has shifted. group=" << first.mGroup
                                                  << " distance=" << distance);
  }
  mHasShifted = hasShifted;
  mIsKnown = true;
  for (size_t layer = 0; layer < mLayers; ++layer) {
    mPopularity[layer].AddWindow(window[layer],
                                 hasShifted ? kShiftWeight : kNewestWeight);
  }
}

}
