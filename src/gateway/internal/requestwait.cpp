#include "gateway/internal/requestwait.h"

#include "framework/log/log.h"
#include "gateway/returndelay.h"

namespace beryllever::gateway {

namespace {

using std::chrono::duration_cast;

constexpr char kLogTag[] = "request";

/** Longest time in the queue for an endpoint. Callers of streams disconnect
 * after 2 s without an event. */
constexpr milliseconds kMaxQueueTime{ 900 };
/** Fraction of the request's timeout that it may spend in the queue. */
constexpr double kMaxQueueTimeFraction = 0.4;
/** Timeout of requests that state none. */
constexpr milliseconds kDefaultTimeout{ 30000 };
/** Multiple of the group form time after which a group that refuses requests
 * probably accepts them again: it stalls before it starts to form. */
constexpr int kGroupFormTimeFactor = 2;
/** Priority of requests for which no places are reserved. */
constexpr int kHighestPriority = 0;
/** Callers follow Retry-After up to the remaining time divided by this. */
constexpr int kRetryAfterDivisor = 3;

}

RequestWait::RequestWait(TrafficContext& aContext, global::TimePoint aArrival)
  : mContext(aContext)
  , mArrival(aArrival)
{
}

void
RequestWait::Begin(const Admission& aAdmission,
                   const std::string& aPool,
                   const RequestMetadata& aMetadata)
{
  mPool = aPool;
  mRequestId = aMetadata.mRequestId;
  mWorkspace = aAdmission.mWorkspace;
  mPriority = aAdmission.mPriority;
  milliseconds time = aMetadata.mRemainingTime.value_or(kDefaultTimeout);
  if (aAdmission.mRoute->mTimeout.count() > 0) {
    time = std::min(time, aAdmission.mRoute->mTimeout);
  }
  mDeadline = mArrival + time;
  const auto queueTime = std::min(
    kMaxQueueTime, duration_cast<milliseconds>(time * kMaxQueueTimeFraction));
  mWaitDeadline = mArrival + queueTime;
  if (auto* admission = mContext.FindAdmission(mPool)) {
    admission->mEstimator.RecordArrival(mPriority);
  }
}

bool
RequestWait::MustQueue() const
{
  // A request that may not wait any longer, such as a late retry, takes a free
  // place or fails.
  if (IsQueued() || mContext.mClock.Now() >= mWaitDeadline) {
    return false;
  }
  const PoolAdmission* admission = mContext.FindAdmission(mPool);
  return admission != nullptr && admission->mQueue.MustQueue(mPriority);
}

bool
RequestWait::TryEnqueue(AdmissionEntry aEntry)
{
  if (mContext.mClock.Now() >= mWaitDeadline) {
    return false;
  }
  if (IsQueued()) {
    return true;
  }
  mPoolAdmission = mContext.FindAdmission(mPool);
  if (mPoolAdmission != nullptr) {
    if (!aEntry.mIsRetry && IsHopeless(*mPoolAdmission)) {
      RecordRefusal("The request cannot be served in time",
                    "beryllever_hopeless_requests");
      return false;
    }
    aEntry.mWorkspace = mWorkspace;
    aEntry.mPriority = mPriority;
    aEntry.mDeadline = mWaitDeadline;
    mQueueId = mPoolAdmission->mQueue.Add(std::move(aEntry));
    mPoolAdmission->mEstimator.SetWaiting(mPoolAdmission->mQueue.Size() > 0);
    mContext.WakeQueued();
    return IsQueued();
  }
  if (mContext.QueueSize() >= kMaxQueuedRequests) {
    return false;
  }
  mQueueId = mContext.Enqueue(
    mPriority, [tryPlace = std::move(aEntry.mTryPlace)] { tryPlace(); });
  return true;
}

int
RequestWait::PlacementPriority() const
{
  const PoolAdmission* admission = mContext.FindAdmission(mPool);
  const bool isDue = admission != nullptr && admission->mQueue.IsDue(mPriority);
  return isDue ? kHighestPriority : mPriority;
}

void
RequestWait::RecordPlaced()
{
  if (IsQueued()) {
    mQueueId = 0;
  } else if (auto* admission = mContext.FindAdmission(mPool)) {
    admission->mQueue.RecordPlaced();
  }
}

void
RequestWait::RecordFreed()
{
  if (auto* admission = mContext.FindAdmission(mPool)) {
    admission->mEstimator.RecordFreed();
  }
}

bool
RequestWait::IsHopeless(const PoolAdmission& aAdmission) const
{
  const auto now = mContext.mClock.Now();
  const auto wait = aAdmission.mEstimator.EstimateWait(
    mPriority, aAdmission.mQueue.Ahead(mPriority), kArrivalDeviations);
  return wait && now + *wait > mWaitDeadline;
}

void
RequestWait::RecordRefusal(const std::string& aReason,
                           const std::string& aCounter) const
{
  const auto* admission = mContext.FindAdmission(mPool);
  if (admission == nullptr) {
    return;
  }
  const auto ahead = admission->mQueue.Ahead(mPriority);
  const auto left = mWaitDeadline - mContext.mClock.Now();
  LOGI(aReason << ". request=" << mRequestId << " pool=" << mPool
               << " priority=" << mPriority
               << " moreUrgent=" << ahead.mMoreUrgent
               << " sameClass=" << ahead.mSameClass << " placesPerSecond="
               << admission->mEstimator.Rate().value_or(0)
               << " waitLeftMilliseconds="
               << duration_cast<milliseconds>(left).count()
               << " milliseconds=" << Elapsed().count());
  mContext.mMetrics.Count(aCounter,
                          { { "priority", std::to_string(mPriority) } });
}

std::optional<milliseconds>
RequestWait::BookReturn()
{
  auto* admission = mContext.FindAdmission(mPool);
  if (admission == nullptr) {
    return std::nullopt;
  }
  const auto longest =
    std::max(milliseconds(0), RemainingTime()) / kRetryAfterDivisor;
  const auto delay = admission->mEstimator.BookReturn(
    mPriority, admission->mQueue.Ahead(mPriority), longest);
  if (delay) {
    return duration_cast<milliseconds>(*delay);
  }
  if (admission->mEstimator.Rate()) {
    // There is no room in time. The caller tries late, and not with all others.
    return DrawReturnDelay(longest, longest, mContext.mRandom);
  }
  return std::nullopt;
}

void
RequestWait::Leave()
{
  const uint64_t id = std::exchange(mQueueId, 0);
  if (id == 0) {
    return;
  }
  if (mPoolAdmission != nullptr) {
    mPoolAdmission->mQueue.Remove(id);
  } else {
    mContext.Dequeue(id);
  }
}

milliseconds
RequestWait::RemainingTime() const
{
  return duration_cast<milliseconds>(mDeadline - mContext.mClock.Now());
}

milliseconds
RequestWait::Elapsed() const
{
  return duration_cast<milliseconds>(mContext.mClock.Now() - mArrival);
}

milliseconds
RequestWait::RetryAfter(bool aWasRefused)
{
  const milliseconds longest =
    std::max(milliseconds(0), RemainingTime()) / kRetryAfterDivisor;
  if (const auto resume = mContext.mBalancer.Availability().PoolPausedUntil(
        *mContext.mSnapshot, mPool)) {
    const auto pause =
      duration_cast<milliseconds>(*resume - mContext.mClock.Now());
    return DrawReturnDelay(pause, longest, mContext.mRandom);
  }
  const published::Pool* pool = mContext.mSnapshot->FindPool(mPool);
  milliseconds delay = kRetryAfterFull;
  if (aWasRefused && pool != nullptr && pool->mEngine) {
    delay =
      std::max(delay, kGroupFormTimeFactor * pool->mEngine->mGroupFormTime);
  }
  std::uniform_real_distribution<double> jitter(0.7, 1.3);
  return std::min(duration_cast<milliseconds>(delay * jitter(mContext.mRandom)),
                  longest);
}

}
