#pragma once

#include "framework/global/iclock.h"

#include <deque>

namespace beryllever::gateway {

using std::chrono::milliseconds;

/** Bound on repeats that all entries keep together. */
struct RetryBounds
{
  /** Repeats allowed for each request. */
  double mRatio = 0.2;
  /** Repeats allowed in a window on top, for all entries together. */
  double mExtra = 0;
  milliseconds mWindow{ 10000 };
  /** Entries that share the extra repeats. */
  int mEntries = 1;
};

/**
 * This entry's share of a pool's repeats. It needs no talk with other entries:
 * the extra repeats are divided, the others follow from its own requests.
 */
class RetryAllowance
{
public:
  explicit RetryAllowance(const global::IClock& aClock);

  void SetBounds(const RetryBounds& aBounds) { mBounds = aBounds; }
  void NoteRequest();
  /** Whether a request may be sent once more; counts it if so. */
  bool TrySpend();

private:
  void DropOld();

  const global::IClock& mClock;
  RetryBounds mBounds;
  std::deque<global::TimePoint> mRequests;
  std::deque<global::TimePoint> mRepeats;
};

}
