#pragma once

#include "gateway/internal/admission.h"
#include "gateway/internal/trafficcontext.h"

namespace beryllever::gateway {

/** Delay after which a full pool probably has free capacity again: the duration
 * of a few responses. */
constexpr milliseconds kRetryAfterFull{ 400 };

/** Times of a request, its place in the queue for an endpoint, and the time at
 * which its caller should return. */
class RequestWait
{
public:
  RequestWait(TrafficContext& aContext, global::TimePoint aArrival);

  /** Sets the deadlines from the route and what the caller states. */
  void Begin(const Admission& aAdmission,
             const std::string& aPool,
             const RequestMetadata& aMetadata);
  /** Whether the request has to queue even if there is a free place. */
  bool MustQueue() const;
  /** Priority by which an endpoint is chosen: the highest if the next place is
   * due to the request's class, so that reserved places do not withhold it. */
  int PlacementPriority() const;
  /** Queues the request, or leaves it in its place in the queue. Returns false
   * if it has waited too long, the queue is full, or it is not expected to be
   * served in time. aEntry states how it is placed and refused; in pools
   * without priorities mOnRefused is not used. */
  bool TryEnqueue(AdmissionEntry aEntry);
  bool IsQueued() const { return mQueueId != 0; }
  /** Id of the queued request; 0 if it is not queued. */
  uint64_t QueueId() const { return mQueueId; }
  /** Whether the request keeps its place in the queue while it tries. */
  bool StaysQueuedWhileTrying() const { return mPoolAdmission != nullptr; }
  /** Records that the queue has taken the request out. */
  void ClearQueueId() { mQueueId = 0; }
  /** Logs and counts a refusal by the queue or by the estimate. Does nothing
   * in pools without priorities. */
  void RecordRefusal(const std::string& aReason,
                     const std::string& aCounter) const;
  /** Records that an attempt of the request has ended at an endpoint. */
  void RecordFreed();
  /** Delay after which the caller should return if all endpoints are full;
   * null if it cannot be estimated. */
  std::optional<milliseconds> BookReturn();
  /** Records that the request is sent to an endpoint. */
  void RecordPlaced();
  /** Takes the request out of the queue. */
  void Leave();
  /** Time that the request had on arrival. */
  global::TimePoint::duration TotalTime() const { return mDeadline - mArrival; }
  global::TimePoint Deadline() const { return mDeadline; }
  milliseconds RemainingTime() const;
  milliseconds Elapsed() const;
  /** Delay after which the caller should retry a request that has not run.
   * aWasRefused tells that an endpoint has refused it. */
  milliseconds RetryAfter(bool aWasRefused);

private:
  /** Whether the request is expected to get a place after its wait limit. */
  bool IsHopeless(const PoolAdmission& aAdmission) const;

  TrafficContext& mContext;
  const global::TimePoint mArrival;
  std::string mPool;
  std::string mRequestId;
  std::string mWorkspace;
  int mPriority = 0;
  /** Queue that holds the request; null if the one of all pools does. */
  PoolAdmission* mPoolAdmission = nullptr;
  /** Deadline set by the caller, by default 30 s after the arrival, or by the
   * route's timeout, whichever is earlier. */
  global::TimePoint mDeadline{};
  /** Time until which the request may be queued for an endpoint. */
  global::TimePoint mWaitDeadline{};
  /** Id of the queued request; 0 if it is not queued. */
  uint64_t mQueueId = 0;
};

}
