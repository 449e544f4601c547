#include "gateway/endpointbalancer.h"

#include <algorithm>
#include <cmath>

namespace beryllever::gateway {

namespace {

using std::chrono::duration;
using std::chrono::seconds;

/** Age beyond which a report no longer reflects the current load. */
constexpr milliseconds kMaxReportAge{ 800 };
/** Age beyond which data of a response no longer shows that its endpoint, or
 * the group that it belongs to, is at work. */
constexpr milliseconds kMaxDataAge{ 500 };
/** Delay behind the latest report of any agent from which an endpoint gets no
 * retries. Below the age at which attempts are given up, so that those are not
 * sent to an endpoint that has frozen at the same time. */
constexpr milliseconds kMaxReportDelayForRetries{ 600 };
constexpr milliseconds kFailureHalfLife{ 2000 };
/** Time for which an unreachable endpoint is avoided. */
constexpr milliseconds kUnreachableAvoidTime{ 700 };
/** Window of the limit on requests per second to a cold endpoint. Longer than a
 * second because requests take different times to arrive. */
constexpr milliseconds kColdLimitWindow{ 1150 };
/** Penalty for a recent failure, relative to a fully loaded endpoint. */
constexpr double kFailurePenalty = 0.5;
/** Penalty for an endpoint that is unreachable or silent, which puts it after
 * any other. */
constexpr double kAvoidPenalty = 2;
/** Penalty for another zone, which adds latency and costs traffic. */
constexpr double kOtherZonePenalty = 0.08;
/** Number of candidates drawn at random, of which the best is selected. Reports
 * are up to half a second old: if all gateways selected the best endpoint, they
 * would overload it before the reports show each other's requests. */
constexpr size_t kSampleSize = 2;
/** Requests that may be queued at an engine, as a fraction of its slots, so
 * that a free slot is filled without delay. */
constexpr double kEngineQueueFraction = 0.35;

}

EndpointBalancer::EndpointBalancer(const global::IClock& aClock, uint64_t aSeed)
  : mClock(aClock)
  , mRandom(aSeed)
  , mAvailability(aClock)
  , mSlowRanks(aClock)
{
}

void
EndpointBalancer::SetColdRateLimit(const ColdRateLimit& aLimit)
{
  mColdRateLimit = aLimit;
  mFleetRanks.clear();
}

void
EndpointBalancer::RecordReport(const std::string& aEndpoint,
                               const LoadReport& aReport)
{
  EndpointStats& stats = mEndpointStats[aEndpoint];
  stats.mReport = aReport;
  mLatestReportAt = std::max(mLatestReportAt, aReport.mReceivedAt);
  stats.mOutstandingAtReport = stats.mOutstanding;
  mSlowRanks.RecordReport(aEndpoint, aReport.mSlowdown);
}

void
EndpointBalancer::RemoveMissing(const published::Snapshot& aSnapshot)
{
  std::erase_if(mEndpointStats, [&](const auto& aStats) {
    return aStats.second.mOutstanding == 0 &&
           aSnapshot.FindEndpoint(aStats.first) == nullptr;
  });
  std::erase_if(mFleetRanks, [&](const auto& aRank) {
    return aSnapshot.FindEndpoint(aRank.first) == nullptr;
  });
  mAvailability.RemoveMissing(aSnapshot);
  mSlowRanks.RemoveMissing(aSnapshot);
}

Placement
EndpointBalancer::Choose(const published::Snapshot& aSnapshot,
                         const PlacementRequest& aRequest)
{
  const published::Pool* pool = aSnapshot.FindPool(aRequest.mPool);
  if (pool == nullptr) {
    return {};
  }
  std::vector<Candidate> candidates;
  bool hasUntried = false;
  bool hasPaused = false;
  const bool needsReport = !aRequest.mTriedEndpoints.empty() &&
                           HasFreshReports(aSnapshot, aRequest.mPool);
  const auto endpoints = aSnapshot.UsableEndpoints(aRequest.mPool);
  const auto slowness = AssessSlowness(endpoints, *pool);
  for (const published::Endpoint* endpoint : endpoints) {
    if (aRequest.mTriedEndpoints.contains(endpoint->mId) ||
        mAvailability.IsLeaving(*endpoint)) {
      continue;
    }
    if (mAvailability.PausedUntil(*endpoint)) {
      hasPaused = true;
      continue;
    }
    hasUntried = true;
    const EndpointStats& stats = mEndpointStats[endpoint->mId];
    const bool isLate =
      needsReport && ReportDelay(stats) > kMaxReportDelayForRetries;
    const double factor =
      slowness ? mSlowRanks.Factor(*endpoint, *slowness) : 1;
    if (!isLate && HasCapacity(stats, *endpoint, *pool, factor)) {
      candidates.push_back({ endpoint, Score(stats, *endpoint, aRequest) });
    }
  }
  if (candidates.empty() && hasUntried) {
    return { PlacementStatus::AtCapacity };
  }
  if (candidates.empty()) {
    return { hasPaused ? PlacementStatus::Paused
                       : PlacementStatus::NoneUsable };
  }
  return { PlacementStatus::Chosen, PickFromSample(std::move(candidates)) };
}

std::optional<PoolSlowness>
EndpointBalancer::AssessSlowness(
  std::vector<const published::Endpoint*> aEndpoints,
  const published::Pool& aPool) const
{
  if (!aPool.mEngine || aPool.mEngine->mExpertLayers == 0) {
    return std::nullopt;
  }
  std::erase_if(aEndpoints, [this](const published::Endpoint* aEndpoint) {
    return mAvailability.IsLeaving(*aEndpoint) ||
           mAvailability.PausedUntil(*aEndpoint);
  });
  return mSlowRanks.Assess(aEndpoints);
}

bool
EndpointBalancer::HasCapacity(const EndpointStats& aStats,
                              const published::Endpoint& aEndpoint,
                              const published::Pool& aPool,
                              double aLimitFactor) const
{
  const double capacity = aLimitFactor * aEndpoint.mSlots *
                          (aPool.mEngine ? 1 + kEngineQueueFraction : 2);
  const bool isClosed = HasFreshReport(aStats) && !aStats.mReport->mIsOpen;
  return EstimatedRequests(aStats) < capacity && !isClosed &&
         !IsColdLimitReached(aStats, aEndpoint, aPool);
}

double
EndpointBalancer::Score(const EndpointStats& aStats,
                        const published::Endpoint& aEndpoint,
                        const PlacementRequest& aRequest) const
{
  const bool isOtherZone =
    aEndpoint.mAvailabilityZone != aRequest.mAvailabilityZone;
  const double slowdown =
    aStats.mReport ? std::max(1.0, aStats.mReport->mSlowdown) : 1.0;
  const bool isAvoided = mClock.Now() < aStats.mAvoidUntil || IsSilent(aStats);
  return (EstimatedRequests(aStats) + 1) * slowdown / aEndpoint.mSlots +
         FailureScore(aStats) * kFailurePenalty +
         (isAvoided ? kAvoidPenalty : 0) +
         (isOtherZone ? kOtherZonePenalty : 0);
}

bool
EndpointBalancer::HasFreshReports(const published::Snapshot& aSnapshot,
                                  const std::string& aPool) const
{
  const auto endpoints = aSnapshot.UsableEndpoints(aPool);
  return std::any_of(
    endpoints.begin(), endpoints.end(), [this](const auto* aEndpoint) {
      const auto it = mEndpointStats.find(aEndpoint->mId);
      return it != mEndpointStats.end() && HasFreshReport(it->second);
    });
}

bool
EndpointBalancer::HasFreshReport(const EndpointStats& aStats) const
{
  return aStats.mReport &&
         mClock.Now() - aStats.mReport->mReceivedAt < kMaxReportAge;
}

const published::Endpoint*
EndpointBalancer::PickFromSample(std::vector<Candidate> aCandidates)
{
  std::shuffle(aCandidates.begin(), aCandidates.end(), mRandom);
  aCandidates.resize(std::min(aCandidates.size(), kSampleSize));
  return std::min_element(aCandidates.begin(),
                          aCandidates.end(),
                          [](const Candidate& aLeft, const Candidate& aRight) {
                            return aLeft.mScore < aRight.mScore;
                          })
    ->mEndpoint;
}

void
EndpointBalancer::RecordSent(const std::string& aEndpoint)
{
  EndpointStats& stats = mEndpointStats[aEndpoint];
  ++stats.mOutstanding;
  stats.mSendTimes.push_back(mClock.Now());
  const auto oldest = mClock.Now() - seconds(10);
  while (!stats.mSendTimes.empty() && stats.mSendTimes.front() < oldest) {
    stats.mSendTimes.pop_front();
  }
}

void
EndpointBalancer::RecordOutcome(const std::string& aEndpoint,
                                EndpointOutcome aOutcome)
{
  EndpointStats& stats = mEndpointStats[aEndpoint];
  stats.mOutstanding = std::max(0, stats.mOutstanding - 1);
  const auto now = mClock.Now();
  switch (aOutcome) {
    case EndpointOutcome::Failed:
      stats.mFailureCount = FailureScore(stats) + 1;
      stats.mFailuresUpdatedAt = now;
      break;
    case EndpointOutcome::Refused:
      stats.mFailureCount = FailureScore(stats) + 0.5;
      stats.mFailuresUpdatedAt = now;
      break;
    case EndpointOutcome::Unreachable:
      stats.mFailureCount = FailureScore(stats) + 1;
      stats.mFailuresUpdatedAt = now;
      stats.mAvoidUntil = now + kUnreachableAvoidTime;
      break;
    case EndpointOutcome::Succeeded:
    case EndpointOutcome::Inconclusive:
      break;
  }
}

int
EndpointBalancer::Outstanding(const std::string& aEndpoint) const
{
  const auto it = mEndpointStats.find(aEndpoint);
  return it == mEndpointStats.end() ? 0 : it->second.mOutstanding;
}

bool
EndpointBalancer::IsSilent(const std::string& aEndpoint) const
{
  const auto it = mEndpointStats.find(aEndpoint);
  return it != mEndpointStats.end() && IsSilent(it->second);
}

bool
EndpointBalancer::IsSilent(const EndpointStats& aStats) const
{
  const bool doOthersSend = mClock.Now() - mLatestDataAt < kMaxDataAge;
  const bool hasSent =
    aStats.mDataAt && mLatestDataAt - *aStats.mDataAt < kMaxDataAge;
  return doOthersSend && !hasSent && ReportDelay(aStats) > kMaxReportAge;
}

void
EndpointBalancer::RecordData(const std::string& aEndpoint)
{
  EndpointStats& stats = mEndpointStats[aEndpoint];
  stats.mDataAt = mClock.Now();
  if (stats.mReport) {
    mLatestDataAt = mClock.Now();
  }
}

global::TimePoint::duration
EndpointBalancer::ReportDelay(const EndpointStats& aStats) const
{
  return aStats.mReport ? mLatestReportAt - aStats.mReport->mReceivedAt
                        : global::TimePoint::duration::zero();
}

bool
EndpointBalancer::IsColdLimitReached(const EndpointStats& aStats,
                                     const published::Endpoint& aEndpoint,
                                     const published::Pool& aPool) const
{
  if (aPool.mColdRequestsPerSecond <= 0) {
    return false;
  }
  // Applied to warm endpoints too: an endpoint can turn cold at any moment.
  const double limit =
    std::floor(aPool.mColdRequestsPerSecond * mColdRateLimit.mColdOverage +
               mColdRateLimit.mColdTolerance);
  const double share = limit / std::max(1, mColdRateLimit.mFleet.mCount);
  // Only as many gateways may use the endpoint as may send at the same moment.
  if (share < 1 && static_cast<double>(FleetRank(aEndpoint)) >= limit) {
    return true;
  }
  const double allowed = std::max(1.0, std::floor(share));
  const auto since = mClock.Now() - kColdLimitWindow;
  const auto recent = std::count_if(aStats.mSendTimes.begin(),
                                    aStats.mSendTimes.end(),
                                    [&](auto aSend) { return aSend > since; });
  return static_cast<double>(recent) >= allowed;
}

size_t
EndpointBalancer::FleetRank(const published::Endpoint& aEndpoint) const
{
  const auto [it, isNew] = mFleetRanks.try_emplace(aEndpoint.mId, 0);
  if (isNew) {
    it->second = mColdRateLimit.mFleet.RankFor(aEndpoint.mId);
  }
  return it->second;
}

double
EndpointBalancer::EstimatedRequests(const EndpointStats& aStats) const
{
  const double own = aStats.mOutstanding;
  if (!HasFreshReport(aStats)) {
    return own;
  }
  const double change = aStats.mOutstanding - aStats.mOutstandingAtReport;
  return std::max(own, aStats.mReport->mRequests + change);
}

double
EndpointBalancer::FailureScore(const EndpointStats& aStats) const
{
  const double age =
    duration<double>(mClock.Now() - aStats.mFailuresUpdatedAt).count();
  return aStats.mFailureCount *
         std::exp2(-age / duration<double>(kFailureHalfLife).count());
}

}
