#include "routing/waitqueue.h"

#include <algorithm>

namespace beryllever::routing {

WaitQueue::WaitQueue(size_t aMaxSize)
  : mMaxSize(aMaxSize)
{
}

std::optional<QueuedRequest>
WaitQueue::Push(QueuedRequest aWaiter)
{
  std::optional<QueuedRequest> shed;
  if (mSize >= mMaxSize) {
    shed = ShedFor(aWaiter);
    if (shed && shed->mId == aWaiter.mId) {
      return shed;
    }
  }
  Lane& lane = mClasses[aWaiter.mPriority][aWaiter.mWorkspace];
  if (lane.mWaiters.empty()) {
    lane.mStart = std::max(lane.mStart, mVirtualTime);
  }
  lane.mWaiters.push_back(std::move(aWaiter));
  ++mSize;
  return shed;
}

const QueuedRequest*
WaitQueue::Front() const
{
  if (mClasses.empty()) {
    return nullptr;
  }
  return &NextLane(mClasses.begin()->second)->second.mWaiters.front();
}

void
WaitQueue::Pop()
{
  const auto first = mClasses.begin();
  const auto lane = NextLane(first->second);
  const QueuedRequest waiter = lane->second.mWaiters.front();
  mVirtualTime = lane->second.mStart;
  lane->second.mStart += 1.0 / waiter.mWeight;
  lane->second.mWaiters.pop_front();
  --mSize;
  EraseIfEmpty(first, waiter.mWorkspace);
}

bool
WaitQueue::Remove(uint64_t aId)
{
  for (auto it = mClasses.begin(); it != mClasses.end(); ++it) {
    for (auto& [workspace, lane] : it->second) {
      if (std::erase_if(lane.mWaiters, [&](const QueuedRequest& aWaiter) {
            return aWaiter.mId == aId;
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
  for (const auto& [priority, lanes] : mClasses) {
    for (const auto& [workspace, lane] : lanes) {
      std::copy_if(lane.mWaiters.begin(),
                   lane.mWaiters.end(),
                   std::back_inserter(expired),
                   [&](const QueuedRequest& aWaiter) {
                     return aNow >= aWaiter.mDeadline;
                   });
    }
  }
  for (const QueuedRequest& waiter : expired) {
    Remove(waiter.mId);
  }
  return expired;
}

std::optional<QueuedRequest>
WaitQueue::ShedFor(const QueuedRequest& aWaiter)
{
  const auto lowest = std::prev(mClasses.end());
  if (aWaiter.mPriority < lowest->first) {
    return aWaiter;
  }
  const auto longest = std::max_element(lowest->second.begin(),
                                        lowest->second.end(),
                                        [](const auto& a_, const auto& aRight) {
                                          return a_.second.mWaiters.size() <
                                                 aRight.second.mWaiters.size();
                                        });
  const bool isSameClass = aWaiter.mPriority == lowest->first;
  if (isSameClass && longest->first == aWaiter.mWorkspace) {
    return aWaiter;
  }
  const QueuedRequest shed = longest->second.mWaiters.back();
  Remove(shed.mId);
  return shed;
}

WaitQueue::Class::iterator
WaitQueue::NextLane(Class& aClass) const
{
  return std::min_element(
    aClass.begin(), aClass.end(), [](const auto& a_, const auto& aRight) {
      return a_.second.mStart < aRight.second.mStart;
    });
}

void
WaitQueue::EraseIfEmpty(std::map<int, Class, std::greater<>>::iterator aClass,
                        const std::string& aWorkspace)
{
  const auto lane = aClass->second.find(aWorkspace);
  if (lane != aClass->second.end() && lane->second.mWaiters.empty()) {
    aClass->second.erase(lane);
  }
  if (aClass->second.empty()) {
    mClasses.erase(aClass);
  }
}

}
