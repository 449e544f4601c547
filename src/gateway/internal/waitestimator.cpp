#include "gateway/waitestimator.h"

#include <algorithm>
#include <cmath>

namespace beryllever::gateway {

namespace {

using std::chrono::duration_cast;
using Seconds = std::chrono::duration<double>;

/** Time over which rates are observed. */
constexpr std::chrono::milliseconds kWindow{ 2000 };
/** Completions without which nothing is estimated: with 20, the standard error
 * of the rate is below a quarter. */
constexpr size_t kMinFreed = 20;
/** Part of the places that the least urgent class gets. */
constexpr double kLowestShare = 1.0 / kPlacesPerLowest;
/** Estimate for a class that gets no places. */
constexpr std::chrono::seconds kLongestWait{ 60 };

global::Duration
ToDuration(double aSeconds)
{
  return std::min<global::Duration>(
    kLongestWait,
    duration_cast<global::Duration>(
      Seconds(std::min(aSeconds, Seconds(kLongestWait).count()))));
}

}

WaitEstimator::WaitEstimator(const global::IClock& aClock)
  : mClock(aClock)
{
}

void
WaitEstimator::SetWaiting(bool aIsWaiting)
{
  if (!aIsWaiting) {
    mWaitingSince.reset();
  } else if (!mWaitingSince) {
    mWaitingSince = mClock.Now();
  }
}

void
WaitEstimator::RecordFreed()
{
  const auto now = mClock.Now();
  mFreed.push_back(now);
  while (now - mFreed.front() > kWindow) {
    mFreed.pop_front();
  }
}

void
WaitEstimator::RecordArrival(int aPriority)
{
  const auto now = mClock.Now();
  mArrivals.push_back({ now, aPriority });
  while (now - mArrivals.front().mTime > kWindow) {
    mArrivals.pop_front();
  }
}

std::optional<double>
WaitEstimator::Rate() const
{
  if (!mWaitingSince) {
    return std::nullopt;
  }
  const auto begin = WindowBegin();
  const auto freed = static_cast<size_t>(
    std::count_if(mFreed.begin(), mFreed.end(), [&](global::TimePoint aTime) {
      return aTime > begin;
    }));
  if (freed < kMinFreed || WindowSeconds() <= 0) {
    return std::nullopt;
  }
  return static_cast<double>(freed) / WindowSeconds();
}

std::optional<global::Duration>
WaitEstimator::EstimateWait(int aPriority,
                            const RequestsAhead& aAhead,
                            double aDeviations) const
{
  const auto rate = Rate();
  if (!rate) {
    return std::nullopt;
  }
  const auto withDeviations = [aDeviations](double aPlaces) {
    return aPlaces + aDeviations * std::sqrt(aPlaces);
  };
  const auto sameClass = static_cast<double>(aAhead.mSameClass) + 1;
  const auto all = static_cast<double>(aAhead.mMoreUrgent) + sameClass;
  const double rest = *rate - MoreUrgentRate(aPriority);
  double seconds =
    rest > 0 ? withDeviations(all) / rest : Seconds(kLongestWait).count();
  if (aAhead.mIsLowest) {
    seconds =
      std::min(seconds, withDeviations(sameClass) / (*rate * kLowestShare));
  }
  return ToDuration(seconds);
}

std::optional<global::Duration>
WaitEstimator::BookReturn(int aPriority,
                          const RequestsAhead& aAhead,
                          global::Duration aLongest)
{
  const auto wait = EstimateWait(aPriority, aAhead);
  if (!wait) {
    return std::nullopt;
  }
  const auto now = mClock.Now();
  auto time = now + *wait;
  for (const auto& [priority, bookedUntil] : mBookedUntil) {
    if (priority <= aPriority) {
      time = std::max(time, bookedUntil);
    }
  }
  if (time > now + aLongest) {
    return std::nullopt;
  }
  mBookedUntil[aPriority] = time + ToDuration(1 / *Rate());
  return time - now;
}

global::TimePoint
WaitEstimator::WindowBegin() const
{
  return std::max(mClock.Now() - kWindow, *mWaitingSince);
}

double
WaitEstimator::WindowSeconds() const
{
  return Seconds(mClock.Now() - WindowBegin()).count();
}

double
WaitEstimator::MoreUrgentRate(int aPriority) const
{
  const auto begin = WindowBegin();
  const auto arrivals = std::count_if(
    mArrivals.begin(), mArrivals.end(), [&](const Arrival& aArrival) {
      return aArrival.mTime > begin && aArrival.mPriority < aPriority;
    });
  return static_cast<double>(arrivals) / WindowSeconds();
}

}
