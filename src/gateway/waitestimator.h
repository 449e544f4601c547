#pragma once

#include "framework/global/iclock.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

namespace beryllever::gateway {

/** One place in so many goes to the least urgent class that waits. */
constexpr int kPlacesPerLowest = 10;

/** Requests that are served before one that waits or arrives. */
struct RequestsAhead
{
  /** Those of more urgent classes. */
  size_t mMoreUrgent = 0;
  size_t mSameClass = 0;
  /** No request of a less urgent class waits. */
  bool mIsLowest = false;
};

/**
 * Estimates when a request of a class gets a place in a pool, from the rate at
 * which places have become free while requests waited, and states when callers
 * that are refused should return.
 */
class WaitEstimator
{
public:
  explicit WaitEstimator(const global::IClock& aClock);

  /** Records whether requests wait. Only places that become free while some do
   * tell the rate at which they can. */
  void SetWaiting(bool aIsWaiting);
  /** Records that an endpoint has completed a request of this gateway. */
  void RecordFreed();
  void RecordArrival(int aPriority);

  /** Places that become free per second, or null without enough observations.
   */
  std::optional<double> Rate() const;
  /** Time until a request gets a place, or null if it cannot be estimated. The
   * number of places that become free fluctuates; aDeviations standard
   * deviations of it are added to the places needed. */
  std::optional<global::Duration> EstimateWait(int aPriority,
                                               const RequestsAhead& aAhead,
                                               double aDeviations = 0) const;
  /** Delay after which a refused caller should return, or null if it cannot be
   * estimated. Callers return one by one at the rate at which places become
   * free, the more urgent classes and earlier refusals first. Null too if that
   * is after aLongest, the longest delay that the caller respects. */
  std::optional<global::Duration> BookReturn(int aPriority,
                                             const RequestsAhead& aAhead,
                                             global::Duration aLongest);

private:
  struct Arrival
  {
    global::TimePoint mTime;
    int mPriority = 0;
  };

  /** Requires that requests wait. */
  global::TimePoint WindowBegin() const;
  double WindowSeconds() const;
  /** Arrivals per second of classes more urgent than aPriority. */
  double MoreUrgentRate(int aPriority) const;

  const global::IClock& mClock;
  /** Since when requests have been waiting. */
  std::optional<global::TimePoint> mWaitingSince;
  std::deque<global::TimePoint> mFreed;
  std::deque<Arrival> mArrivals;
  /** Time up to which returns are booked, by priority. */
  std::map<int, global::TimePoint> mBookedUntil;
};

}
