#include "gateway/coldratelimiter.h"

#include <algorithm>
#include <cmath>

namespace beryllever::gateway {

namespace {

/** Window of the limit on requests per second to a cold endpoint. Longer than a
 * second because requests take different times to arrive. */
constexpr std::chrono::milliseconds kColdLimitWindow{ 1150 };
/** Age beyond which the time of a send is discarded. */
constexpr std::chrono::seconds kMaxSendAge{ 10 };

}

ColdRateLimiter::ColdRateLimiter(const global::IClock& aClock)
  : mClock(aClock)
{
}

void
ColdRateLimiter::SetLimit(const ColdRateLimit& aLimit)
{
  mLimit = aLimit;
  mFleetRanks.clear();
}

void
ColdRateLimiter::RecordSent(const std::string& aEndpoint)
{
  std::deque<global::TimePoint>& times = mSendTimes[aEndpoint];
  times.push_back(mClock.Now());
  const auto oldest = mClock.Now() - kMaxSendAge;
  while (!times.empty() && times.front() < oldest) {
    times.pop_front();
  }
}

bool
ColdRateLimiter::IsLimitReached(const published::Endpoint& aEndpoint,
                                const published::Pool& aPool) const
{
  if (aPool.mColdRequestsPerSecond <= 0) {
    return false;
  }
  // Applied to warm endpoints too: an endpoint can turn cold at any moment.
  const double limit = std::floor(
    aPool.mColdRequestsPerSecond * mLimit.mColdOverage + mLimit.mColdTolerance);
  const double share = limit / std::max(1, mLimit.mFleet.mCount);
  // Only as many gateways may use the endpoint as may send at the same moment.
  if (share < 1 && static_cast<double>(FleetRank(aEndpoint)) >= limit) {
    return true;
  }
  const auto it = mSendTimes.find(aEndpoint.mId);
  if (it == mSendTimes.end()) {
    return false;
  }
  const double allowed = std::max(1.0, std::floor(share));
  const auto since = mClock.Now() - kColdLimitWindow;
  const auto recent = std::count_if(it->second.begin(),
                                    it->second.end(),
                                    [&](auto aSend) { return aSend > since; });
  return static_cast<double>(recent) >= allowed;
}

void
ColdRateLimiter::RemoveIf(
  const std::function<bool(const std::string&)>& aIsObsolete)
{
  std::erase_if(mSendTimes,
                [&](const auto& aTimes) { return aIsObsolete(aTimes.first); });
  std::erase_if(mFleetRanks,
                [&](const auto& aRank) { return aIsObsolete(aRank.first); });
}

size_t
ColdRateLimiter::FleetRank(const published::Endpoint& aEndpoint) const
{
  const auto [it, isNew] = mFleetRanks.try_emplace(aEndpoint.mId, 0);
  if (isNew) {
    it->second = mLimit.mFleet.RankFor(aEndpoint.mId);
  }
  return it->second;
}

}
