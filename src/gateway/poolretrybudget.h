#pragma once

#include "framework/global/iclock.h"

#include <deque>

namespace beryllever::gateway {

using std::chrono::milliseconds;

/** Limit on the retries of a pool, shared by all gateways. */
struct RetryLimits
{
  /** Retries allowed per request in the window. */
  double mRatio = 0.2;
  /** Additional retries per window, for all gateways together. */
  double mExtra = 0;
  milliseconds mWindow{ 10000 };
  /** Gateways among which mExtra is divided. */
  int mGatewayCount = 1;
};

/**
 * This gateway's share of the retries allowed for a pool, in a sliding window.
 * Gateways need no coordination: each one counts retries against its own
 * requests and takes an equal part of the extra retries.
 */
class PoolRetryBudget
{
public:
  explicit PoolRetryBudget(const global::IClock& aClock);

  void SetLimits(const RetryLimits& aLimits) { mLimits = aLimits; }
  void RecordRequest();
  /** Consumes one retry. Returns false if the limit is reached. */
  bool TryConsume();

private:
  void RemoveExpired();

  const global::IClock& mClock;
  RetryLimits mLimits;
  std::deque<global::TimePoint> mRequests;
  std::deque<global::TimePoint> mRetries;
};

}
