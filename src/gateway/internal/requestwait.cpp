#include "gateway/internal/requestwait.h"

#include "gateway/returndelay.h"

namespace beryllever::gateway {

namespace {

using std::chrono::duration_cast;

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
                   std::optional<milliseconds> aTime)
{
  mPool = aPool;
  mWorkspace = aAdmission.mWorkspace;
  mPriority = aAdmission.mPriority;
  milliseconds time = aTime.value_or(kDefaultTimeout);
  if (aAdmission.mRoute->mTimeout.count() > 0) {
    time = std::min(time, aAdmission.mRoute->mTimeout);
  }
  mDeadline = mArrival + time;
  const auto queueTime = std::min(
    kMaxQueueTime, duration_cast<milliseconds>(time * kMaxQueueTimeFraction));
  mWaitDeadline = mArrival + queueTime;
}

bool
RequestWait::MustQueue() const
{
  const AdmissionQueue* queue = mContext.FindAdmissionQueue(mPool);
  return !IsQueued() && queue != nullptr && queue->MustQueue(mPriority);
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
  mQueue = mContext.FindAdmissionQueue(mPool);
  if (mQueue != nullptr) {
    aEntry.mWorkspace = mWorkspace;
    aEntry.mPriority = mPriority;
    aEntry.mDeadline = mWaitDeadline;
    mQueueId = mQueue->Add(std::move(aEntry));
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

void
RequestWait::RecordPlaced()
{
  if (IsQueued()) {
    mQueueId = 0;
  } else if (auto* queue = mContext.FindAdmissionQueue(mPool)) {
    queue->RecordPlaced();
  }
}

void
RequestWait::Leave()
{
  const uint64_t id = std::exchange(mQueueId, 0);
  if (id == 0) {
    return;
  }
  if (mQueue != nullptr) {
    mQueue->Remove(id);
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
