#include "rankagent/internal/demandtracker.h"

#include "framework/log/log.h"

#include <algorithm>
#include <numeric>

namespace beryllever::rankagent {

namespace {

constexpr char kLogTag[] = "group";
/** Smallest weight of a new window in the estimate, which bounds its age. */
constexpr double kMinWindowWeight = 0.15;
/** Two consecutive windows that agree by this factor better than the last one
 * agrees with the estimate show that the estimate is outdated. */
constexpr double kOutdatedFactor = 1.3;
/** Multiple of the distance between windows of steady demand from which on a
 * distance is a shift. */
constexpr double kShiftFactor = 2;
/** Weight of a window in the distance of steady demand. */
constexpr double kSteadyWeight = 0.2;
/** Distances below this make no difference to a map. */
constexpr double kMinDistance = 0.02;
/** Windows with fewer selections carry too little information and are ignored.
 */
constexpr double kMinSelections = 200;
/** Weight of an interval between two shifts in the expected one. */
constexpr double kShiftIntervalWeight = 0.3;
/** Interval that is expected before two shifts have been seen. */
constexpr std::chrono::seconds kDefaultShiftInterval{ 10 };
/** Demand that has stayed for long is expected to stay for at least this
 * fraction of the interval. */
constexpr int kMinStayDivisor = 3;

double
MeanDistance(const std::vector<rebalancing::Popularity>& aFrom,
             const std::vector<rebalancing::Loads>& aWindow)
{
  double sum = 0;
  for (size_t layer = 0; layer < aWindow.size(); ++layer) {
    sum += aFrom[layer].DistanceTo(aWindow[layer]);
  }
  return sum / static_cast<double>(aWindow.size());
}

}

DemandTracker::DemandTracker(size_t aLayers, size_t aExperts)
  : mLayers(aLayers)
  , mExperts(aExperts)
  , mEstimate(aLayers, rebalancing::Popularity(aExperts))
  , mLastWindow(mEstimate)
{
}

DemandTracker::Windows
DemandTracker::ComputeWindow(
  const std::vector<std::optional<RankSample>>& aSamples)
{
  Windows window(mLayers, rebalancing::Loads(mExperts, 0));
  const auto hasCounts = [this](const std::optional<RankSample>& aSample) {
    return aSample->mCounts.size() == mLayers * mExperts;
  };
  if (std::none_of(aSamples.begin(), aSamples.end(), hasCounts)) {
    return window;
  }
  for (size_t rank = 0; rank < aSamples.size(); ++rank) {
    const std::vector<uint64_t>& counts = aSamples[rank]->mCounts;
    std::vector<uint64_t>& last = mLastCounts[rank];
    if (!hasCounts(aSamples[rank])) {
      // If the rank is counted again, its counts cover more than a window.
      last.clear();
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
  const std::vector<std::optional<RankSample>>& aSamples,
  global::TimePoint aNow)
{
  const RankState& first = aSamples[0]->mState;
  if (mLastCounts.size() != aSamples.size() || mEpoch != first.mEpoch) {
    // The counts restart, but the demand of the callers does not change.
    mEpoch = first.mEpoch;
    mLastCounts.assign(aSamples.size(), {});
  }
  const Windows window = ComputeWindow(aSamples);
  double sum = 0;
  for (const rebalancing::Loads& loads : window) {
    sum += std::accumulate(loads.begin(), loads.end(), 0.0);
  }
  if (sum >= kMinSelections) {
    AddWindow(window, aNow);
  }
}

void
DemandTracker::AddWindow(const Windows& aWindow, global::TimePoint aNow)
{
  const double toEstimate = MeanDistance(mEstimate, aWindow);
  const double toLast = MeanDistance(mLastWindow, aWindow);
  const double minShift =
    std::max(kMinDistance, kShiftFactor * mSteadyDistance.value_or(0));
  const bool isOutdated =
    toEstimate > std::max(minShift, kOutdatedFactor * toLast);
  mIsShifting = !isOutdated && mSteadyDistance && toLast > minShift;
  if (isOutdated) {
    LOGI("Demand for experts has shifted. distance="
         << toEstimate << " betweenWindows=" << toLast);
    mWindows = 0;
    RecordShift(aNow);
  } else if (!mIsShifting && mWindows > 0) {
    const double steady = mSteadyDistance.value_or(toLast);
    mSteadyDistance = steady + kSteadyWeight * (toLast - steady);
  }
  ++mWindows;
  const double weight =
    std::max(kMinWindowWeight, 1 / static_cast<double>(mWindows));
  for (size_t layer = 0; layer < mLayers; ++layer) {
    mEstimate[layer].AddWindow(aWindow[layer], weight);
    mLastWindow[layer].AddWindow(aWindow[layer], 1);
  }
}

void
DemandTracker::RecordShift(global::TimePoint aNow)
{
  if (mShiftedAt) {
    const global::Duration interval = aNow - *mShiftedAt;
    const global::Duration expected = mShiftInterval.value_or(interval);
    mShiftInterval = expected + std::chrono::duration_cast<global::Duration>(
                                  kShiftIntervalWeight * (interval - expected));
  }
  mShiftedAt = aNow;
}

global::Duration
DemandTracker::ExpectedStay(global::TimePoint aNow) const
{
  const global::Duration interval =
    mShiftInterval.value_or(kDefaultShiftInterval);
  const global::Duration elapsed =
    mShiftedAt ? aNow - *mShiftedAt : global::Duration::zero();
  return std::max(interval - elapsed, interval / kMinStayDivisor);
}

}
