#pragma once

#include "framework/global/iclock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace beryllever::routing {

/** A request that is waiting for an endpoint. */
struct QueuedRequest
{
  uint64_t mId = 0;
  std::string mWorkspace;
  /** Requests with a higher value are served first. */
  int mPriority = 5;
  /** Weight of the workspace in the fair share of its priority. */
  int mWeight = 1;
  global::TimePoint mDeadline;
};

/**
 * Queue of the requests that are waiting for an endpoint of a pool. Higher
 * priorities are served first. Within a priority, start-time fair queueing
 * divides the service between the workspaces by weight, regardless of how many
 * requests each of them has queued.
 */
class WaitQueue
{
public:
  /** aKeptOfLowest requests of the lowest priority are neither shed for others
   * nor counted, so that others do not keep that priority out of the queue. */
  explicit WaitQueue(size_t aMaxSize, size_t aKeptOfLowest = 0);

  /**
   * Adds a request. If the queue is full, returns the request that is shed for
   * it: the most recent one of the workspace with the most requests in the
   * lowest priority. The new request is itself shed if its priority is lower
   * still or if it belongs to that workspace and priority.
   */
  std::optional<QueuedRequest> Push(QueuedRequest aRequest);
  /** Returns the next request to serve without removing it, or null if the
   * queue is empty. */
  const QueuedRequest* Front() const;
  /** Returns the next request to serve of the lowest priority, or null. */
  const QueuedRequest* LowestFront() const;
  void Pop();
  /** Removes a request because it is served, and charges its workspace. */
  void Take(uint64_t aId);
  /** Removes a request, for example because its caller has disconnected. */
  bool Remove(uint64_t aId) { return Remove(aId, false); }
  /** Removes and returns the requests whose deadline has passed. */
  std::vector<QueuedRequest> RemoveExpired(global::TimePoint aNow);

  size_t Size() const { return mSize; }

private:
  /** Requests of one workspace at one priority. */
  struct WorkspaceQueue
  {
    std::deque<QueuedRequest> mRequests;
    /** Virtual start time of the first request. */
    double mVirtualStart = 0;
  };
  using Workspaces = std::map<std::string, WorkspaceQueue>;
  /** Queues of one priority. Its virtual time is its own: with one for all, a
   * workspace that joins a class would be ahead of or behind the others in it
   * by what other classes were served. */
  struct PriorityClass
  {
    Workspaces mWorkspaces;
    double mVirtualTime = 0;
  };
  using Classes = std::map<int, PriorityClass, std::greater<>>;

  size_t SizeOf(int aPriority) const;
  /** Whether the request is among those kept of the lowest priority. */
  bool IsKept(const QueuedRequest& aRequest) const;
  bool IsFull() const;
  /** Sheds a request in favour of a new one, or rejects the new one. */
  std::optional<QueuedRequest> ShedRequestFor(const QueuedRequest& aRequest);
  bool Remove(uint64_t aId, bool aIsServed);
  static Workspaces::iterator NextQueue(PriorityClass& aClass);
  void EraseIfEmpty(Classes::iterator aClass, const std::string& aWorkspace);

  const size_t mMaxSize;
  const size_t mKeptOfLowest;
  size_t mSize = 0;
  mutable Classes mClasses;
};

}
