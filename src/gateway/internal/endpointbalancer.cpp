#include "gateway/endpointbalancer.h"

#include "framework/log/log.h"

#include <algorithm>

namespace beryllever::gateway {

namespace {

constexpr char kLogTag[] = "balancer";

/** Delay behind the latest report of any agent from which an endpoint gets no
 * retries. Below the age at which attempts are given up, so that those are not
 * sent to an endpoint that has frozen at the same time. */
constexpr milliseconds kMaxReportDelayForRetries{ 600 };
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
/** Requests that a gateway without reports may always have in a pool, however
 * many gateways there are. */
constexpr int kMinStartPlaces = 3;
/** Time between log lines on denied placements; thousands may be denied in a
 * second. */
constexpr milliseconds kDenialLogInterval{ 1000 };

}

EndpointBalancer::EndpointBalancer(const global::IClock& aClock, uint64_t aSeed)
  : mRandom(aSeed)
  , mLoads(aClock)
  , mHealth(aClock)
  , mColdLimiter(aClock)
  , mAvailability(aClock)
  , mSlowRanks(aClock)
  , mReservation(aClock)
  , mStartShare(aClock)
  , mClock(aClock)
{
}

void
EndpointBalancer::SetColdRateLimit(const ColdRateLimit& aLimit)
{
  mColdLimiter.SetLimit(aLimit);
}

void
EndpointBalancer::RecordReport(const std::string& aEndpoint,
                               const LoadReport& aReport)
{
  mLoads.RecordReport(aEndpoint, aReport);
  mSlowRanks.RecordReport(aEndpoint, aReport.mSlowdown);
}

void
EndpointBalancer::RemoveMissing(const published::Snapshot& aSnapshot)
{
  const auto isObsolete = [&](const std::string& aEndpoint) {
    return mLoads.Outstanding(aEndpoint) == 0 &&
           aSnapshot.FindEndpoint(aEndpoint) == nullptr;
  };
  mHealth.RemoveIf(isObsolete);
  mColdLimiter.RemoveIf(isObsolete);
  // Last, because the others ask for the outstanding requests.
  mLoads.RemoveIf(isObsolete);
  mAvailability.RemoveMissing(aSnapshot);
  mSlowRanks.RemoveMissing(aSnapshot);
}

void
EndpointBalancer::RecordArrival(const std::string& aPool, int aPriority)
{
  mReservation.RecordArrival(aPool, aPriority);
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
  Placement denied{ PlacementStatus::AtCapacity };
  const bool needsReport = !aRequest.mTriedEndpoints.empty() &&
                           HasFreshReports(aSnapshot, aRequest.mPool);
  const auto endpoints = aSnapshot.UsableEndpoints(aRequest.mPool);
  const auto slowness = AssessSlowness(endpoints, *pool);
  const bool hasPriorities = aSnapshot.HasPriorities(aRequest.mPool);
  const ReservationScope scope = ScopeFor(endpoints.size());
  const auto start = AssessStart(endpoints, *pool);
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
    const bool isLate = needsReport && mLoads.ReportDelay(endpoint->mId) >
                                         kMaxReportDelayForRetries;
    const double normal = NormalLimit(*endpoint, *pool, aRequest);
    const double factor =
      slowness ? mSlowRanks.Factor(*endpoint, *slowness) : 1;
    if (isLate || !HasCapacity(*endpoint, *pool, normal * factor)) {
      continue;
    }
    const double limit =
      start ? StartLimit(*endpoint, normal * factor, *start) : normal * factor;
    if (start && !HasCapacity(*endpoint, *pool, limit)) {
      denied.mIsBeyondShare = true;
      continue;
    }
    const double reserved =
      hasPriorities
        ? mReservation.ReservedPlaces(
            aRequest.mPool, aRequest.mPriority, endpoint->mSlots, scope)
        : 0;
    // A lower limit has fewer reserved places, so that less urgent requests
    // keep a part of it.
    if (!HasCapacity(*endpoint, *pool, limit * (1 - reserved / normal))) {
      denied.mIsReserved = true;
      continue;
    }
    candidates.push_back({ endpoint, Score(*endpoint, aRequest) });
  }
  if (candidates.empty() && hasUntried) {
    RecordDenied(aRequest, denied);
    return denied;
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

double
EndpointBalancer::NormalLimit(const published::Endpoint& aEndpoint,
                              const published::Pool& aPool,
                              const PlacementRequest& aRequest)
{
  if (!aRequest.mMayQueueAtEndpoint) {
    return aEndpoint.mSlots;
  }
  return aEndpoint.mSlots * (aPool.mEngine ? 1 + kEngineQueueFraction : 2);
}

bool
EndpointBalancer::HasCapacity(const published::Endpoint& aEndpoint,
                              const published::Pool& aPool,
                              double aLimit) const
{
  return mLoads.EstimatedRequests(aEndpoint.mId) < aLimit &&
         !mLoads.IsClosed(aEndpoint.mId) &&
         !mColdLimiter.IsLimitReached(aEndpoint, aPool);
}

ReservationScope
EndpointBalancer::ScopeFor(size_t aEndpoints) const
{
  // mCount is the upper bound by which limits are divided; a reservation for so
  // many gateways would be too large.
  return { std::max<size_t>(1, mColdLimiter.Fleet().mNames.size()),
           aEndpoints };
}

std::optional<EndpointBalancer::StartLimits>
EndpointBalancer::AssessStart(
  const std::vector<const published::Endpoint*>& aEndpoints,
  const published::Pool& aPool)
{
  if (!aPool.mEngine || mColdLimiter.Fleet().mCount <= 1) {
    return std::nullopt;
  }
  const auto reported = std::count_if(
    aEndpoints.begin(), aEndpoints.end(), [this](const auto* aEndpoint) {
      return mLoads.HasFreshReport(aEndpoint->mId);
    });
  const auto growth = mStartShare.Growth(
    aPool.mName, static_cast<size_t>(reported), aEndpoints.size());
  if (!growth) {
    return std::nullopt;
  }
  int share = 0;
  int outstanding = 0;
  for (const published::Endpoint* endpoint : aEndpoints) {
    share += StartPlaces(*endpoint);
    outstanding += mLoads.Outstanding(endpoint->mId);
  }
  const bool isTooSmall =
    share < kMinStartPlaces && outstanding < kMinStartPlaces;
  return StartLimits{ *growth, isTooSmall ? kMinStartPlaces : 0 };
}

double
EndpointBalancer::StartLimit(const published::Endpoint& aEndpoint,
                             double aLimit,
                             const StartLimits& aStart) const
{
  if (mLoads.HasFreshReport(aEndpoint.mId)) {
    return aLimit;
  }
  const double share = std::min<double>(
    aLimit, std::max(aStart.mMinPlaces, StartPlaces(aEndpoint)));
  return share + aStart.mGrowth * (aLimit - share);
}

int
EndpointBalancer::StartPlaces(const published::Endpoint& aEndpoint) const
{
  return StartShare::Places(aEndpoint.mSlots,
                            mColdLimiter.FleetRank(aEndpoint),
                            mColdLimiter.Fleet().mCount);
}

void
EndpointBalancer::RecordDenied(const PlacementRequest& aRequest,
                               const Placement& aPlacement)
{
  if (!aPlacement.mIsReserved && !aPlacement.mIsBeyondShare) {
    return;
  }
  ++mDenials;
  if (mClock.Now() < mNextDenialLog) {
    return;
  }
  LOGI("Free places are not given to a request. pool="
       << aRequest.mPool << " priority=" << aRequest.mPriority << " reserved="
       << aPlacement.mIsReserved << " beyondShare=" << aPlacement.mIsBeyondShare
       << " denials=" << mDenials);
  mDenials = 0;
  mNextDenialLog = mClock.Now() + kDenialLogInterval;
}

double
EndpointBalancer::Score(const published::Endpoint& aEndpoint,
                        const PlacementRequest& aRequest) const
{
  const bool isOtherZone =
    aEndpoint.mAvailabilityZone != aRequest.mAvailabilityZone;
  const bool isAvoided =
    mHealth.IsAvoided(aEndpoint.mId) || mLoads.IsSilent(aEndpoint.mId);
  return (mLoads.EstimatedRequests(aEndpoint.mId) + 1) *
           mLoads.Slowdown(aEndpoint.mId) / aEndpoint.mSlots +
         mHealth.FailureScore(aEndpoint.mId) * kFailurePenalty +
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
      return mLoads.HasFreshReport(aEndpoint->mId);
    });
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
  mLoads.RecordSent(aEndpoint);
  mColdLimiter.RecordSent(aEndpoint);
}

void
EndpointBalancer::RecordOutcome(const std::string& aEndpoint,
                                EndpointOutcome aOutcome)
{
  mLoads.RecordEnded(aEndpoint);
  mHealth.RecordOutcome(aEndpoint, aOutcome);
}

int
EndpointBalancer::Outstanding(const std::string& aEndpoint) const
{
  return mLoads.Outstanding(aEndpoint);
}

bool
EndpointBalancer::IsSilent(const std::string& aEndpoint) const
{
  return mLoads.IsSilent(aEndpoint);
}

void
EndpointBalancer::RecordData(const std::string& aEndpoint)
{
  mLoads.RecordData(aEndpoint);
}

}
