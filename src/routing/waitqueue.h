#pragma once

#include "framework/global/iclock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace beryllever::routing {

/** A request that waits for an endpoint. */
struct QueuedRequest
{
  uint64_t mId = 0;
  std::string mWorkspace;
  int mPriority = 5;
  int mWeight = 1;
  global::TimePoint mDeadline;
};

/**
 * Requests that wait for a pool. Higher priorities go first; within a priority
 * the workspaces share by weight, whatever the number of requests that each has
 * sent.
 */
class WaitQueue
{
public:
  explicit WaitQueue(size_t aMaxSize);

  /**
   * Adds a request. If the queue is full, the last request of the workspace
   * with the most waiting requests in the lowest priority gives way; returns
   * the one shed.
   */
  std::optional<QueuedRequest> Push(QueuedRequest aWaiter);
  /** The request whose turn it is, left in the queue; null if there is none. */
  const QueuedRequest* Front() const;
  void Pop();
  /** Takes out a request, for instance because its caller is gone. */
  bool Remove(uint64_t aId);
  /** Takes out the requests whose deadline has passed. */
  std::vector<QueuedRequest> RemoveExpired(global::TimePoint aNow);

  size_t Size() const { return mSize; }

private:
  struct Lane
  {
    std::deque<QueuedRequest> mWaiters;
    /** Virtual start time of the lane's next request. */
    double mStart = 0;
  };
  using Class = std::map<std::string, Lane>;

  std::optional<QueuedRequest> ShedFor(const QueuedRequest& aWaiter);
  Class::iterator NextLane(Class& aClass) const;
  void EraseIfEmpty(std::map<int, Class, std::greater<>>::iterator aClass,
                    const std::string& aWorkspace);

  const size_t mMaxSize;
  size_t mSize = 0;
  double mVirtualTime = 0;
  mutable std::map<int, Class, std::greater<>> mClasses;
};

}
