#include "gateway/poolretrybudget.h"

#include <algorithm>

namespace beryllever::gateway {

namespace {

/** Fraction of the limit that is used. The rest allows for requests in transit:
 * they are counted on arrival at the gateway, but may reach an endpoint only
 * after the end of the window. */
constexpr double kUsableFraction = 0.8;

void
EraseBefore(std::deque<global::TimePoint>& aTimes, global::TimePoint aStart)
{
  while (!aTimes.empty() && aTimes.front() < aStart) {
    aTimes.pop_front();
  }
}

}

PoolRetryBudget::PoolRetryBudget(const global::IClock& aClock)
  : mClock(aClock)
{
}

void
PoolRetryBudget::RecordRequest()
{
  RemoveExpired();
  mRequests.push_back(mClock.Now());
}

bool
PoolRetryBudget::TryConsume()
{
  RemoveExpired();
  const double allowed =
    kUsableFraction * (mLimits.mRatio * static_cast<double>(mRequests.size()) +
                       mLimits.mExtra / std::max(1, mLimits.mGatewayCount));
  if (static_cast<double>(mRetries.size()) + 1 > allowed) {
    return false;
  }
  mRetries.push_back(mClock.Now());
  return true;
}

void
PoolRetryBudget::RemoveExpired()
{
  const auto start = mClock.Now() - mLimits.mWindow;
  EraseBefore(mRequests, start);
  EraseBefore(mRetries, start);
}

}
