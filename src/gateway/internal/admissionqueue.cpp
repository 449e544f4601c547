#include "gateway/admissionqueue.h"

#include <vector>

namespace beryllever::gateway {

namespace {

/** One place in so many goes to the least urgent class that waits. */
constexpr int kPlacesPerLowest = 10;

}

AdmissionQueue::AdmissionQueue(size_t aMaxSize)
  : mMaxSize(aMaxSize)
  , mQueue(aMaxSize)
{
}

uint64_t
AdmissionQueue::Add(AdmissionEntry aEntry)
{
  const uint64_t id = ++mLastId;
  const int priority = aEntry.mPriority;
  std::optional<routing::QueuedRequest> shed;
  if (aEntry.mIsRetry) {
    if (mRetries.size() >= mMaxSize) {
      return 0;
    }
    mRetries.emplace(priority, id);
  } else {
    // The queue serves higher values first.
    shed = mQueue.Push(
      { id, aEntry.mWorkspace, -priority, 1, global::TimePoint::max() });
  }
  if (shed && shed->mId == id) {
    return 0;
  }
  if (mCounts.empty()) {
    mPlacedSinceLowest = 0;
  }
  ++mCounts[priority];
  mEntries.emplace(id, std::move(aEntry));
  if (shed) {
    Refuse(shed->mId, QueueRefusal::Displaced);
  }
  return id;
}

void
AdmissionQueue::Remove(uint64_t aId)
{
  const auto it = mEntries.find(aId);
  if (it == mEntries.end()) {
    return;
  }
  mQueue.Remove(aId);
  Forget(aId);
}

void
AdmissionQueue::Forget(uint64_t aId)
{
  const auto it = mEntries.find(aId);
  if (it == mEntries.end()) {
    return;
  }
  const auto count = mCounts.find(it->second.mPriority);
  if (--count->second == 0) {
    mCounts.erase(count);
  }
  mRetries.erase({ it->second.mPriority, aId });
  mEntries.erase(it);
}

void
AdmissionQueue::Refuse(uint64_t aId, QueueRefusal aRefusal)
{
  const auto onRefused = mEntries.at(aId).mOnRefused;
  Remove(aId);
  onRefused(aRefusal);
}

void
AdmissionQueue::RefuseExpired(global::TimePoint aNow)
{
  std::vector<uint64_t> expired;
  for (const auto& [id, entry] : mEntries) {
    if (aNow >= entry.mDeadline) {
      expired.push_back(id);
    }
  }
  for (const uint64_t id : expired) {
    if (mEntries.contains(id)) {
      Refuse(id, QueueRefusal::Expired);
    }
  }
}

bool
AdmissionQueue::TryServe(uint64_t aId)
{
  const auto tryPlace = mEntries.at(aId).mTryPlace;
  if (!tryPlace()) {
    return false;
  }
  const auto it = mEntries.find(aId);
  // A request that failed while it tried has removed itself.
  if (it != mEntries.end()) {
    const routing::QueuedRequest* lowest = mQueue.LowestFront();
    const bool isLowest =
      lowest == nullptr || it->second.mPriority >= -lowest->mPriority;
    mPlacedSinceLowest = isLowest ? 0 : mPlacedSinceLowest + 1;
    mQueue.Take(aId);
    Forget(aId);
  }
  return true;
}

bool
AdmissionQueue::ServeLowest()
{
  const routing::QueuedRequest* lowest = mQueue.LowestFront();
  return lowest != nullptr && TryServe(lowest->mId);
}

void
AdmissionQueue::Serve()
{
  const auto retries = mRetries;
  auto retry = retries.begin();
  while (!mEntries.empty()) {
    if (IsLowestDue() && ServeLowest()) {
      continue;
    }
    const routing::QueuedRequest* front = mQueue.Front();
    if (retry != retries.end() &&
        (front == nullptr || retry->first <= -front->mPriority)) {
      if (mEntries.contains(retry->second)) {
        TryServe(retry->second);
      }
      ++retry;
      continue;
    }
    if (front == nullptr || !TryServe(front->mId)) {
      return;
    }
  }
}

bool
AdmissionQueue::MustQueue(int aPriority) const
{
  return !mCounts.empty() &&
         (mCounts.begin()->first <= aPriority || IsLowestDue());
}

void
AdmissionQueue::RecordPlaced()
{
  if (!mCounts.empty()) {
    ++mPlacedSinceLowest;
  }
}

bool
AdmissionQueue::IsLowestDue() const
{
  return mPlacedSinceLowest >= kPlacesPerLowest - 1;
}

}
