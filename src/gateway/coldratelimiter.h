#pragma once

#include "framework/global/iclock.h"
#include "gateway/gatewayfleet.h"
#include "published/snapshot.h"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace beryllever::gateway {

/** Limit on the requests to a cold endpoint, divided among all gateways. */
struct ColdRateLimit
{
  GatewayFleet mFleet;
  /** Factor applied to the pool's cold requests per second. */
  double mColdOverage = 1;
  /** Requests per second added to the product. */
  double mColdTolerance = 0;
};

/** Keeps this gateway within its share of the limit on requests per second to
 * each endpoint of a pool that can turn cold. */
class ColdRateLimiter
{
public:
  explicit ColdRateLimiter(const global::IClock& aClock);

  void SetLimit(const ColdRateLimit& aLimit);
  const GatewayFleet& Fleet() const { return mLimit.mFleet; }
  /** Rank of this gateway among all for the endpoint. */
  size_t FleetRank(const published::Endpoint& aEndpoint) const;
  void RecordSent(const std::string& aEndpoint);
  bool IsLimitReached(const published::Endpoint& aEndpoint,
                      const published::Pool& aPool) const;
  void RemoveIf(const std::function<bool(const std::string&)>& aIsObsolete);

private:
  const global::IClock& mClock;
  ColdRateLimit mLimit;
  /** Rank of this gateway among all for each endpoint, computed on demand. */
  mutable std::map<std::string, size_t> mFleetRanks;
  std::map<std::string, std::deque<global::TimePoint>> mSendTimes;
};

}
