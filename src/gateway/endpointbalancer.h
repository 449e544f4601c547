#pragma once

#include "framework/global/iclock.h"
#include "gateway/endpointavailability.h"
#include "gateway/gatewayfleet.h"
#include "gateway/slowranklimit.h"
#include "published/snapshot.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>

namespace beryllever::gateway {

using std::chrono::milliseconds;

/** Load of an endpoint as reported by its agent. */
struct LoadReport
{
  /** Requests running or queued at the endpoint, from all gateways. */
  int mRequests = 0;
  /** Whether the endpoint's group accepts requests. */
  bool mIsOpen = true;
  /** Factor by which requests take longer than usual; 1 is normal. */
  double mSlowdown = 1;
  /** When this process received the report. */
  global::TimePoint mReceivedAt{};
};

/** Limit on the requests to a cold endpoint, divided among all gateways. */
struct ColdRateLimit
{
  GatewayFleet mFleet;
  /** Factor applied to the pool's cold requests per second. */
  double mColdOverage = 1;
  /** Requests per second added to the product. */
  double mColdTolerance = 0;
};

/** Criteria by which an endpoint is selected for a request. */
struct PlacementRequest
{
  std::string mPool;
  /** Zone of this gateway, whose endpoints are preferred. */
  std::string mAvailabilityZone;
  /** Ids of the endpoints that the request has already been sent to. */
  std::set<std::string> mTriedEndpoints;
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
};

/** Outcome of an attempt, as evidence of the endpoint's health. */
enum class EndpointOutcome
{
  Succeeded,
  /** The endpoint stated that it did not run the request. */
  Refused,
  /** Server error, broken connection or malformed response. */
  Failed,
  /** No connection, or another endpoint at the address. */
  Unreachable,
  /** Ended for a reason that says nothing about the endpoint. */
  Inconclusive,
};

/**
 * Tracks the load and health of the endpoints, based on the requests of this
 * gateway and the reports of the agents, and selects an endpoint for each
 * request.
 */
class EndpointBalancer
{
public:
  EndpointBalancer(const global::IClock& aClock, uint64_t aSeed);

  void SetColdRateLimit(const ColdRateLimit& aLimit);
  void RecordReport(const std::string& aEndpoint, const LoadReport& aReport);
  /** Removes idle endpoints that are not in the snapshot. */
  void RemoveMissing(const published::Snapshot& aSnapshot);

  Placement Choose(const published::Snapshot& aSnapshot,
                   const PlacementRequest& aRequest);
  void RecordSent(const std::string& aEndpoint);
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
  struct EndpointStats
  {
    int mOutstanding = 0;
    std::deque<global::TimePoint> mSendTimes;
    /** Exponentially decayed failure count as of mFailuresUpdatedAt. */
    double mFailureCount = 0;
    global::TimePoint mFailuresUpdatedAt{};
    global::TimePoint mAvoidUntil{};
    /** Latest report, of any age. */
    std::optional<LoadReport> mReport;
    int mOutstandingAtReport = 0;
    /** When the endpoint last sent a part of a response. */
    std::optional<global::TimePoint> mDataAt;
  };

  struct Candidate
  {
    const published::Endpoint* mEndpoint = nullptr;
    /** Cost estimate from load, failures and zone; the lowest is best. */
    double mScore = 0;
  };

  /** Whether one more request may be sent to the endpoint now, whose normal
   * limit is multiplied by the factor. */
  bool HasCapacity(const EndpointStats& aStats,
                   const published::Endpoint& aEndpoint,
                   const published::Pool& aPool,
                   double aLimitFactor) const;
  /** How slow the pool is; none unless its endpoints compute in lock-step. */
  std::optional<PoolSlowness> AssessSlowness(
    std::vector<const published::Endpoint*> aEndpoints,
    const published::Pool& aPool) const;
  double Score(const EndpointStats& aStats,
               const published::Endpoint& aEndpoint,
               const PlacementRequest& aRequest) const;
  /** Whether the agent of any endpoint of the pool reports. */
  bool HasFreshReports(const published::Snapshot& aSnapshot,
                       const std::string& aPool) const;
  /** Returns the best of a few candidates drawn at random. */
  const published::Endpoint* PickFromSample(std::vector<Candidate> aCandidates);
  bool IsSilent(const EndpointStats& aStats) const;
  /** Whether the endpoint's report is recent enough to be believed. */
  bool HasFreshReport(const EndpointStats& aStats) const;
  /** How much older the endpoint's report is than the latest of any; zero if
   * it has none. */
  global::TimePoint::duration ReportDelay(const EndpointStats& aStats) const;
  bool IsColdLimitReached(const EndpointStats& aStats,
                          const published::Endpoint& aEndpoint,
                          const published::Pool& aPool) const;
  /** Rank of this gateway among all for the endpoint. */
  size_t FleetRank(const published::Endpoint& aEndpoint) const;
  /** Requests at the endpoint, from its report and the changes since then. */
  double EstimatedRequests(const EndpointStats& aStats) const;
  double FailureScore(const EndpointStats& aStats) const;

  const global::IClock& mClock;
  std::mt19937_64 mRandom;
  ColdRateLimit mColdRateLimit;
  /** Rank of this gateway among all for each endpoint, computed on demand. */
  mutable std::map<std::string, size_t> mFleetRanks;
  std::map<std::string, EndpointStats> mEndpointStats;
  EndpointAvailability mAvailability;
  SlowRankLimit mSlowRanks;
  /** When the latest report of any endpoint was received. */
  global::TimePoint mLatestReportAt{};
  /** When any endpoint with an agent last sent a part of a response. */
  global::TimePoint mLatestDataAt{};
};

}
