#pragma once

#include "credits/creditstypes.h"

#include <optional>

namespace beryllever::credits {

/** Lower and upper bound of an endpoint's capacity, from the pools table. */
struct CapacityBounds
{
  Slots mCold = 1;
  Slots mWarm = 1;
};

/**
 * Adaptive concurrency limit of a back end. It starts at the cold bound and is
 * increased by one after three rounds of completions (three times as many
 * completions as the limit), at most five times a second. It is halved on
 * failures, lost connections and slow responses, and reset to the cold bound
 * when the back end has restarted or lost its cache.
 */
class EndpointCapacity
{
public:
  EndpointCapacity(const global::IClock& aClock, CapacityBounds aBounds);

  /** Sets new bounds; a lower warm bound applies immediately. */
  void SetBounds(CapacityBounds aBounds);
  void HandleReport(const BackEndReport& aReport);
  /** No report arrived in time; the back end may have restarted meanwhile. */
  void HandleReportTimeout();
  /** A request has succeeded; aFirstByte is the time to the first byte of its
   * response. */
  void HandleCompletion(std::chrono::microseconds aFirstByte);
  /** The back end has failed a request. */
  void HandleFailure();
  /**
   * A connection to the back end was lost; its process may have been replaced.
   * The capacity is 0 until the next report, which shows whether it was.
   */
  void HandleConnectionLoss();

  Slots ConcurrencyLimit() const { return mIsReady ? mLimit : 0; }
  bool IsCold() const { return mLimit < mBounds.mWarm; }

private:
  void ResetToCold();
  void Halve();
  bool IsCacheLost(int64_t aEntries) const;

  const global::IClock& mClock;
  CapacityBounds mBounds;
  Slots mLimit;
  global::TimePoint mNextIncrease;
  bool mIsReady = false;
  bool mHasLostConnection = false;
  int mCompletions = 0;
  int mSlowCompletions = 0;
  std::optional<std::string> mIncarnation;
  int64_t mCacheEntries = -1;
  std::chrono::microseconds mAverageFirstByte{ 0 };
  global::TimePoint mNextDecrease{};
};

}
