#pragma once

#include "framework/global/iclock.h"
#include "gateway/classreservation.h"
#include "gateway/coldratelimiter.h"
#include "gateway/endpointavailability.h"
#include "gateway/endpointhealth.h"
#include "gateway/endpointloadtable.h"
#include "gateway/slowranklimit.h"
#include "gateway/startshare.h"
#include "published/snapshot.h"

#include <optional>
#include <random>
#include <set>

namespace beryllever::gateway {

using std::chrono::milliseconds;

/** Criteria by which an endpoint is selected for a request. */
struct PlacementRequest
{
  std::string mPool;
  /** Zone of this gateway, whose endpoints are preferred. */
  std::string mAvailabilityZone;
  /** Ids of the endpoints that the request has already been sent to. */
  std::set<std::string> mTriedEndpoints;
  /** 0 is the most urgent. */
  int mPriority = 0;
  /** Whether the request may wait in the queue of an endpoint whose slots are
   * in use. */
  bool mMayQueueAtEndpoint = true;
};

/** Result of selecting an endpoint. */
enum class PlacementStatus
{
  Chosen,
  /** The remaining usable endpoints are at capacity. */
  AtCapacity,
  /** The remaining usable endpoints have asked for a pause. */
  Paused,
  /** No untried usable endpoint remains. */
  NoneUsable,
};

struct Placement
{
  PlacementStatus mStatus = PlacementStatus::NoneUsable;
  const published::Endpoint* mEndpoint = nullptr;
  /** Whether an endpoint has room that it keeps for more urgent requests; only
   * with AtCapacity. */
  bool mIsReserved = false;
  /** Whether an endpoint has room beyond this gateway's share without reports;
   * only with AtCapacity. */
  bool mIsBeyondShare = false;
};

/** Selects an endpoint for each request by the load, health and limits of the
 * endpoints. */
class EndpointBalancer
{
public:
  EndpointBalancer(const global::IClock& aClock, uint64_t aSeed);

  void SetColdRateLimit(const ColdRateLimit& aLimit);
  void RecordReport(const std::string& aEndpoint, const LoadReport& aReport);
  /** Removes idle endpoints that are not in the snapshot. */
  void RemoveMissing(const published::Snapshot& aSnapshot);

  /** Records that a request has arrived, once however often it is placed. */
  void RecordArrival(const std::string& aPool, int aPriority);
  Placement Choose(const published::Snapshot& aSnapshot,
                   const PlacementRequest& aRequest);
  void RecordSent(const std::string& aEndpoint);
  /** Records the end of an attempt. */
  void RecordOutcome(const std::string& aEndpoint, EndpointOutcome aOutcome);
  int Outstanding(const std::string& aEndpoint) const;
  /** What endpoints have said about taking requests; Choose respects it. */
  EndpointAvailability& Availability() { return mAvailability; }
  /** Records that the endpoint has sent a part of a response. */
  void RecordData(const std::string& aEndpoint);
  /** Whether neither the endpoint sends data nor its agent reports, while
   * others do both: its machine is probably frozen, dead or cut off. */
  bool IsSilent(const std::string& aEndpoint) const;

private:
  struct StartLimits
  {
    /** Part of the way from the share to the normal limit. */
    double mGrowth = 0;
    /** Places at any endpoint, if the share is too small. */
    int mMinPlaces = 0;
  };

  struct Candidate
  {
    const published::Endpoint* mEndpoint = nullptr;
    /** Cost estimate from load, failures and zone; the lowest is best. */
    double mScore = 0;
  };

  /** Requests that an endpoint with normal speed may have. */
  static double NormalLimit(const published::Endpoint& aEndpoint,
                            const published::Pool& aPool,
                            const PlacementRequest& aRequest);
  /** Whether one more request may be sent to the endpoint now, which may have
   * aLimit requests. */
  bool HasCapacity(const published::Endpoint& aEndpoint,
                   const published::Pool& aPool,
                   double aLimit) const;
  /** How the limits without reports have grown, unless they are normal. */
  std::optional<StartLimits> AssessStart(
    const std::vector<const published::Endpoint*>& aEndpoints,
    const published::Pool& aPool);
  /** Limit at an endpoint with the normal limit, for a gateway that lacks
   * reports of the pool. */
  double StartLimit(const published::Endpoint& aEndpoint,
                    double aLimit,
                    const StartLimits& aStart) const;
  int StartPlaces(const published::Endpoint& aEndpoint) const;
  /** Gateways and endpoints among which a pool's arrivals are divided. */
  ReservationScope ScopeFor(size_t aEndpoints) const;
  /** Logs denials by the reservation or the share, at most once in a while. */
  void RecordDenied(const PlacementRequest& aRequest,
                    const Placement& aPlacement);
  /** How slow the pool is; none unless its endpoints compute in lock-step. */
  std::optional<PoolSlowness> AssessSlowness(
    std::vector<const published::Endpoint*> aEndpoints,
    const published::Pool& aPool) const;
  double Score(const published::Endpoint& aEndpoint,
               const PlacementRequest& aRequest) const;
  /** Whether the agent of any endpoint of the pool reports. */
  bool HasFreshReports(const published::Snapshot& aSnapshot,
                       const std::string& aPool) const;
  /** Returns the best of a few candidates drawn at random. */
  const published::Endpoint* PickFromSample(std::vector<Candidate> aCandidates);

  std::mt19937_64 mRandom;
  EndpointLoadTable mLoads;
  EndpointHealth mHealth;
  ColdRateLimiter mColdLimiter;
  EndpointAvailability mAvailability;
  SlowRankLimit mSlowRanks;
  ClassReservation mReservation;
  StartShare mStartShare;
  const global::IClock& mClock;
  global::TimePoint mNextDenialLog{};
  /** Denials by the reservation or the share since the last log line. */
  int mDenials = 0;
};

}
