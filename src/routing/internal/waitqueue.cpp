#include "routing/waitqueue.h"

#include <algorithm>

namespace beryllever::routing {

WaitQueue::WaitQueue(size_t aMaxSize)
  : mMaxSize(aMaxSize)
{
}

std::optional<QueuedRequest>
WaitQueue::Push(QueuedRequest aRequest)
{
  std::optional<QueuedRequest> shed;
  if (mSize >= mMaxSize) {
    shed = ShedRequestFor(aRequest);
    if (shed && shed->mId == aRequest.mId) {
      return shed;
    }
  }
  WorkspaceQueue& queue = mClasses[aRequest.mPriority][aRequest.mWorkspace];
  if (queue.mRequests.empty()) {
    queue.mVirtualStart = std::max(queue.mVirtualStart, mVirtualTime);
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

void
WaitQueue::Pop()
{
  const auto first = mClasses.begin();
  const auto queue = NextQueue(first->second);
  const QueuedRequest request = queue->second.mRequests.front();
  mVirtualTime = queue->second.mVirtualStart;
  queue->second.mVirtualStart += 1.0 / request.mWeight;
  queue->second.mRequests.pop_front();
  --mSize;
  EraseIfEmpty(first, request.mWorkspace);
}

bool
WaitQueue::Remove(uint64_t aId)
{
  for (auto it = mClasses.begin(); it != mClasses.end(); ++it) {
    for (auto& [workspace, queue] : it->second) {
      if (std::erase_if(queue.mRequests, [&](const QueuedRequest& aRequest) {
            return aRequest.mId == aId;
          }) > 0) {
        --mSize;
        EraseIfEmpty(it, std::string(workspace));
        return true;
      }
    }
  }
  return false;
}

std::vector<QueuedRequest>
WaitQueue::RemoveExpired(global::TimePoint aNow)
{
  std::vector<QueuedRequest> expired;
  for (const auto& [priority, queues] : mClasses) {
    for (const auto& [workspace, queue] : queues) {
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
  const auto lowest = std::prev(mClasses.end());
  if (aRequest.mPriority < lowest->first) {
    return aRequest;
  }
  const auto longest = std::max_element(
    lowest->second.begin(),
    lowest->second.end(),
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

WaitQueue::PriorityClass::iterator
WaitQueue::NextQueue(PriorityClass& aClass) const
{
  return std::min_element(
    aClass.begin(), aClass.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.mVirtualStart < aRight.second.mVirtualStart;
    });
}

void
WaitQueue::EraseIfEmpty(
  std::map<int, PriorityClass, std::greater<>>::iterator aClass,
  const std::string& aWorkspace)
{
  const auto queue = aClass->second.find(aWorkspace);
  if (queue != aClass->second.end() && queue->second.mRequests.empty()) {
    aClass->second.erase(queue);
  }
  if (aClass->second.empty()) {
    mClasses.erase(aClass);
  }
}

}
