#pragma once

#include "gateway/waitestimator.h"
#include "routing/waitqueue.h"

#include <functional>
#include <set>

namespace beryllever::gateway {

/** Standard deviations by which an arriving request is expected to wait longer
 * than the mean. Without them the queue of an overloaded pool is so long that
 * half of the last requests in it wait in vain. */
constexpr double kArrivalDeviations = 1;

/** Why a queue gives up a request. */
enum class QueueRefusal
{
  /** A more urgent request has taken its place. */
  Displaced,
  Expired,
  /** It is not expected to be served in time. */
  Hopeless,
};

/** A request to be queued for a pool whose requests have priorities. */
struct AdmissionEntry
{
  std::string mWorkspace;
  /** 0 is the most urgent. */
  int mPriority = 0;
  /** An endpoint has already got the request. It cannot use every free place,
   * so that others may be served while it waits. */
  bool mIsRetry = false;
  /** Tries to place the request, and returns false if it has to wait on. */
  std::function<bool()> mTryPlace;
  /** Ends the request for the reason given. It is not queued any more. */
  std::function<void(QueueRefusal)> mOnRefused;
  /** Time until which the request may wait. */
  global::TimePoint mDeadline = global::TimePoint::max();
};

/**
 * Queue of one pool: by priority, then fair between workspaces. At least one in
 * ten of the places goes to the least urgent class that waits.
 */
class AdmissionQueue
{
public:
  explicit AdmissionQueue(size_t aMaxSize);

  /** Adds a request, and displaces a less urgent one if the queue is full.
   * Returns an id for Remove, or 0 if the new request finds no place. */
  uint64_t Add(AdmissionEntry aEntry);
  void Remove(uint64_t aId);
  /** Serves requests in order until the first one that has to wait on. */
  void Serve();
  /** Gives up the requests that may not wait any longer. */
  void RefuseExpired(global::TimePoint aNow);
  /** Gives up the requests that are not expected to be served in time, except
   * retries: an endpoint may have run them, so that they end with an error. */
  void RefuseHopeless(const WaitEstimator& aEstimator, global::TimePoint aNow);
  /** Requests that are served before one that arrives now. */
  RequestsAhead Ahead(int aPriority) const;
  /** Whether an arriving request has to queue, because a request that is as
   * urgent waits or the next place is the least urgent class's. */
  bool MustQueue(int aPriority) const;
  /** Whether the next place is due to this class, the least urgent that waits.
   */
  bool IsDue(int aPriority) const;
  /** Records that a request got a place without waiting. */
  void RecordPlaced();
  size_t Size() const { return mEntries.size(); }
  /** Waiting requests by priority. */
  const std::map<int, size_t>& Counts() const { return mCounts; }

private:
  bool IsLowestDue() const;
  /** Lets the request try, and removes it unless it has to wait on. */
  bool TryServe(uint64_t aId);
  bool ServeLowest();
  void Refuse(uint64_t aId, QueueRefusal aRefusal);
  /** Removes what is kept beside mQueue for a request. */
  void Forget(uint64_t aId);

  const size_t mMaxSize;
  routing::WaitQueue mQueue;
  /** Requests that an endpoint has got, by priority and arrival. The retry
   * budget bounds their number, and they are not in mQueue. */
  std::set<std::pair<int, uint64_t>> mRetries;
  std::map<uint64_t, AdmissionEntry> mEntries;
  std::map<int, size_t> mCounts;
  uint64_t mLastId = 0;
  /** Places given to other classes since the least urgent one got one. */
  int mPlacedSinceLowest = 0;
};

}
