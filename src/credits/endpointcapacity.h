#pragma once

#include "credits/creditstypes.h"

#include <optional>

namespace beryllever::credits {

/** Bounds of an endpoint's capacity, from the table of pools. */
struct CapacityBounds
{
  Slots mCold = 1;
  Slots mWarm = 1;
};

/**
 * Works out how many requests a back end bears now. It starts at the cold
 * bound, grows by one in every three rounds of completions but no faster than
 * five times a second, and falls back to the cold bound when the back end shows
 * that it has lost its warmth.
 */
class EndpointCapacity
{
public:
  EndpointCapacity(const global::IClock& aClock, CapacityBounds aBounds);

  /** Takes new bounds; a lower warm bound is in force at once. */
  void SetBounds(CapacityBounds aBounds);
  void HandleReport(const BackEndReport& aReport);
  /** No report came in time: the back end may have started anew unseen. */
  void HandleReportTimeout();
  /** A request has ended well. The time is that of its first answer byte. */
  void HandleCompletion(std::chrono::microseconds aFirstByte);
  /** A request has failed in the back end. */
  void HandleFailure();
  /**
   * A connection to the back end broke: its process may have been replaced.
   * Nothing is let in until the next report tells.
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
