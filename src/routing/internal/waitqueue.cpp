#include "routing/waitqueue.h"

#include <algorithm>

namespace beryllever::routing {

WaitQueue::WaitQueue(size_t aMaxSize, size_t aKeptOfLowest)
  : mMaxSize(aMaxSize)
  , mKeptOfLowest(aKeptOfLowest)
{
}

size_t
WaitQueue::SizeOf(int aPriority) const
{
  const auto it = mClasses.find(aPriority);
  size_t size = 0;
  if (it != mClasses.end()) {
    for (const auto& [workspace, queue] : it->second.mWorkspaces) {
      size += queue.mRequests.size();
    }
  }
  return size;
}

bool
WaitQueue::IsKept(const QueuedRequest& aRequest) const
{
  const bool isLowest =
    mClasses.empty() || aRequest.mPriority <= mClasses.rbegin()->first;
  return isLowest && SizeOf(aRequest.mPriority) < mKeptOfLowest;
}

bool
WaitQueue::IsFull() const
{
  const size_t kept =
    mClasses.empty()
      ? 0
      : std::min(mKeptOfLowest, SizeOf(mClasses.rbegin()->first));
  return mSize - kept >= mMaxSize;
}

std::optional<QueuedRequest>
WaitQueue::Push(QueuedRequest aRequest)
{
  std::optional<QueuedRequest> shed;
  if (IsFull() && !IsKept(aRequest)) {
    shed = ShedRequestFor(aRequest);
    if (shed && shed->mId == aRequest.mId) {
      return shed;
    }
  }
  PriorityClass& priorityClass = mClasses[aRequest.mPriority];
  WorkspaceQueue& queue = priorityClass.mWorkspaces[aRequest.mWorkspace];
  if (queue.mRequests.empty()) {
    queue.mVirtualStart =
      std::max(queue.mVirtualStart, priorityClass.mVirtualTime);
  }
  queue.mRequests.push_back(std::move(aRequest));
  ++mSize;
  return shed;
}

const QueuedRequest*
WaitQueue::Front() const
{
  if (mClasses.empty()) {
    return nullptr;
  }
  return &NextQueue(mClasses.begin()->second)->second.mRequests.front();
}

const QueuedRequest*
WaitQueue::LowestFront() const
{
  if (mClasses.empty()) {
    return nullptr;
  }
  return &NextQueue(mClasses.rbegin()->second)->second.mRequests.front();
}

void
WaitQueue::Pop()
{
  Take(Front()->mId);
}

void
WaitQueue::Take(uint64_t aId)
{
  Remove(aId, true);
}

bool
WaitQueue::Remove(uint64_t aId, bool aIsServed)
{
  for (auto it = mClasses.begin(); it != mClasses.end(); ++it) {
    for (auto& [workspace, queue] : it->second.mWorkspaces) {
      const auto request = std::find_if(
        queue.mRequests.begin(),
        queue.mRequests.end(),
        [&](const QueuedRequest& aQueued) { return aQueued.mId == aId; });
      if (request == queue.mRequests.end()) {
        continue;
      }
      if (aIsServed) {
        it->second.mVirtualTime = queue.mVirtualStart;
        queue.mVirtualStart += 1.0 / request->mWeight;
      }
      queue.mRequests.erase(request);
      --mSize;
      EraseIfEmpty(it, std::string(workspace));
      return true;
    }
  }
  return false;
}

std::vector<QueuedRequest>
WaitQueue::RemoveExpired(global::TimePoint aNow)
{
  std::vector<QueuedRequest> expired;
  for (const auto& [priority, priorityClass] : mClasses) {
    for (const auto& [workspace, queue] : priorityClass.mWorkspaces) {
      std::copy_if(queue.mRequests.begin(),
                   queue.mRequests.end(),
                   std::back_inserter(expired),
                   [&](const QueuedRequest& aRequest) {
                     return aNow >= aRequest.mDeadline;
                   });
    }
  }
  for (const QueuedRequest& request : expired) {
    Remove(request.mId);
  }
  return expired;
}

std::optional<QueuedRequest>
WaitQueue::ShedRequestFor(const QueuedRequest& aRequest)
{
  auto lowest = std::prev(mClasses.end());
  if (lowest != mClasses.begin() && SizeOf(lowest->first) <= mKeptOfLowest) {
    --lowest;
  }
  if (aRequest.mPriority < lowest->first) {
    return aRequest;
  }
  const auto longest = std::max_element(
    lowest->second.mWorkspaces.begin(),
    lowest->second.mWorkspaces.end(),
    [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.mRequests.size() < aRight.second.mRequests.size();
    });
  const bool isSameClass = aRequest.mPriority == lowest->first;
  if (isSameClass && longest->first == aRequest.mWorkspace) {
    return aRequest;
  }
  const QueuedRequest shed = longest->second.mRequests.back();
  Remove(shed.mId);
  return shed;
}

WaitQueue::Workspaces::iterator
WaitQueue::NextQueue(PriorityClass& aClass)
{
  return std::min_element(aClass.mWorkspaces.begin(),
                          aClass.mWorkspaces.end(),
                          [](const auto& aLeft, const auto& aRight) {
                            return aLeft.second.mVirtualStart <
                                   aRight.second.mVirtualStart;
                          });
}

void
WaitQueue::EraseIfEmpty(Classes::iterator aClass, const std::string& aWorkspace)
{
  Workspaces& workspaces = aClass->second.mWorkspaces;
  const auto queue = workspaces.find(aWorkspace);
  if (queue != workspaces.end() && queue->second.mRequests.empty()) {
    workspaces.erase(queue);
  }
  if (workspaces.empty()) {
    mClasses.erase(aClass);
  }
}

}
