#pragma once

#include "framework/global/iclock.h"
#include "gateway/endpointloadtable.h"
#include "published/snapshot.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace beryllever::gateway {

using std::chrono::milliseconds;

/** How slow the endpoints of a pool are as a whole. */
struct PoolSlowness
{
  /** Median slowdown; 1 is normal. */
  double mUsual = 1;
  /** Whether so few endpoints are slow that the others can do without them. */
  bool mCanExclude = false;
};

/**
 * Limits the requests at slow ranks of a lock-step group. A pass lasts as long
 * as the slowest rank's own part, which grows with the requests at that rank,
 * so one rank that is filled like the others slows down all of them.
 */
class SlowRankLimit
{
public:
  explicit SlowRankLimit(const global::IClock& aClock);

  void RecordReport(const std::string& aEndpoint, double aSlowdown);
  void RemoveMissing(const published::Snapshot& aSnapshot);

  PoolSlowness Assess(
    const std::vector<const published::Endpoint*>& aEndpoints) const;
  /** Factor by which the endpoint's limit is multiplied, 0 to 1. */
  double Factor(const published::Endpoint& aEndpoint,
                const PoolSlowness& aPool) const;

private:
  struct Rank
  {
    double mSlowdown = 1;
    bool mIsSlow = false;
    /** When the report no longer counts. */
    global::TimePoint mValidUntil{};
  };

  /** The latest report if it still counts, otherwise null. */
  const Rank* Find(const std::string& aEndpoint) const;

  const global::IClock& mClock;
  std::map<std::string, Rank> mRanks;
};

}
