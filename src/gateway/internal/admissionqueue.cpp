#include "gateway/admissionqueue.h"

#include <algorithm>
#include <vector>

namespace beryllever::gateway {

namespace {

/** Part of the queue, as a divisor, that is kept for the least urgent class, so
 * that more urgent requests do not displace all of it. */
constexpr size_t kQueuePerLowest = 10;

/** A waiting request is given up only if its wait would be too long in spite of
 * usual fluctuation, not for a brief pause. */
constexpr double kWaitingDeviations = -1;

RequestsAhead
AheadIn(const std::map<int, size_t>& aCounts, int aPriority, int aLowest)
{
  RequestsAhead ahead{ .mIsLowest = aPriority >= aLowest };
  for (const auto& [priority, count] : aCounts) {
    if (priority < aPriority) {
      ahead.mMoreUrgent += count;
    } else if (priority == aPriority) {
      ahead.mSameClass = count;
    }
  }
  return ahead;
}

}

AdmissionQueue::AdmissionQueue(size_t aMaxSize)
  : mMaxSize(aMaxSize)
  , mQueue(aMaxSize, aMaxSize / kQueuePerLowest)
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

void
AdmissionQueue::RefuseHopeless(const WaitEstimator& aEstimator,
                               global::TimePoint aNow)
{
  std::vector<std::pair<int, uint64_t>> order;
  for (const auto& [id, entry] : mEntries) {
    order.emplace_back(entry.mPriority, id);
  }
  std::sort(order.begin(), order.end());
  std::map<int, size_t> kept;
  for (const auto& [priority, id] : order) {
    const auto it = mEntries.find(id);
    if (it == mEntries.end()) {
      continue;
    }
    const auto wait =
      aEstimator.EstimateWait(priority,
                              AheadIn(kept, priority, mCounts.rbegin()->first),
                              kWaitingDeviations);
    if (!it->second.mIsRetry && wait && aNow + *wait > it->second.mDeadline) {
      Refuse(id, QueueRefusal::Hopeless);
    } else {
      ++kept[priority];
    }
  }
}

RequestsAhead
AdmissionQueue::Ahead(int aPriority) const
{
  return AheadIn(
    mCounts, aPriority, mCounts.empty() ? aPriority : mCounts.rbegin()->first);
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

bool
AdmissionQueue::IsDue(int aPriority) const
{
  return IsLowestDue() && !mCounts.empty() &&
         aPriority >= mCounts.rbegin()->first;
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
