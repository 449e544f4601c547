#include "published/publishedstate.h"

#include "framework/log/log.h"
#include "published/priorities.h"

#include <algorithm>

namespace beryllever::published {

namespace {

constexpr char kLogTag[] = "published";
/** The platform's documentation states that live endpoints are registered again
 * within about two seconds of the end of an outage. */
constexpr std::chrono::milliseconds kReregistrationTime{ 2200 };

}

PublishedState::PublishedState(const IRecordCodec& aCodec,
                               const global::IClock& aClock)
  : mCodec(aCodec)
  , mClock(aClock)
  , mCurrent(std::make_shared<Snapshot>(nullptr,
                                        Snapshot::Endpoints(),
                                        std::set<std::string>(),
                                        0))
{
}

bool
PublishedState::ApplyListing(const std::vector<Record>& aRecords,
                             uint64_t aRevision)
{
  bool isChanged = false;
  std::set<std::string> listed;
  for (const Record& record : aRecords) {
    listed.insert(record.mKey);
    isChanged = ApplyRecord(record) || isChanged;
  }
  for (auto& [key, record] : mRecords) {
    if (!record.mIsDeleted && record.mRevision <= aRevision &&
        !listed.contains(key)) {
      record = { .mKey = key, .mRevision = aRevision, .mIsDeleted = true };
      isChanged = Remove(key, ReregistrationDeadline()) || isChanged;
    }
  }
  if (aRevision > mRevision) {
    mRevision = aRevision;
    mTombstonesSince = aRevision;
  }
  Rebuild();
  return isChanged;
}

bool
PublishedState::ApplyChanges(const std::vector<Record>& aRecords,
                             uint64_t aRevision)
{
  bool isChanged = false;
  mRevision = std::max(mRevision, aRevision);
  for (const Record& record : aRecords) {
    isChanged = ApplyRecord(record) || isChanged;
  }
  if (isChanged) {
    Rebuild();
  }
  return isChanged;
}

bool
PublishedState::Apply(const RecordBatch& aBatch)
{
  return aBatch.mIsFull ? ApplyListing(aBatch.mRecords, aBatch.mRevision)
                        : ApplyChanges(aBatch.mRecords, aBatch.mRevision);
}

void
PublishedState::RecordFailure()
{
  mHasFailed = true;
  mLastFailure = mClock.Now();
}

void
PublishedState::RecordContact()
{
  if (mHasFailed && mClock.Now() - mLastFailure > 2 * kReregistrationTime) {
    mHasFailed = false;
  }
}

global::TimePoint
PublishedState::ReregistrationDeadline() const
{
  return mHasFailed ? mLastFailure + kReregistrationTime : global::TimePoint{};
}

bool
PublishedState::ExpireRemovals()
{
  const auto now = mClock.Now();
  const size_t removed =
    std::erase_if(mDelayedRemovals, [&](const auto& aRemoval) {
      if (aRemoval.second > now) {
        return false;
      }
      LOGI("Endpoint is gone after an outage. key=" << aRemoval.first);
      mEndpointsByKey.erase(aRemoval.first);
      return true;
    });
  if (removed > 0) {
    Rebuild();
  }
  return removed > 0;
}

RecordBatch
PublishedState::RecordsSince(uint64_t aRevision) const
{
  RecordBatch batch{ .mRevision = mRevision,
                     .mIsFull = aRevision < mTombstonesSince,
                     .mRecords = {} };
  for (const auto& [key, record] : mRecords) {
    if (!batch.mIsFull && record.mRevision <= aRevision) {
      continue;
    }
    batch.mRecords.push_back(record);
    if (const auto it = mDelayedRemovals.find(key);
        it != mDelayedRemovals.end()) {
      batch.mRecords.back().mKeptUntil = it->second;
    }
  }
  return batch;
}

bool
PublishedState::ApplyRecord(const Record& aRecord)
{
  const auto it = mRecords.find(aRecord.mKey);
  if (it != mRecords.end() && it->second.mRevision >= aRecord.mRevision) {
    return false;
  }
  mRecords[aRecord.mKey] = aRecord;
  if (aRecord.mIsDeleted) {
    return Remove(aRecord.mKey,
                  std::max(ReregistrationDeadline(), aRecord.mKeptUntil));
  }
  Item item = mCodec.Decode(aRecord.mKey, aRecord.mData);
  if (auto* configuration = std::get_if<Configuration>(&item)) {
    return ApplyConfiguration(std::move(*configuration));
  }
  if (const auto* endpoint = std::get_if<Endpoint>(&item)) {
    return ApplyEndpoint(aRecord.mKey, *endpoint);
  }
  if (const auto* outOfService = std::get_if<OutOfService>(&item)) {
    LOGI("Availability zone is out of service. availabilityZone="
         << outOfService->mAvailabilityZone
         << " revision=" << aRecord.mRevision);
    mOutZonesByKey[aRecord.mKey] = outOfService->mAvailabilityZone;
    return true;
  }
  if (const auto* unreadable = std::get_if<Unreadable>(&item)) {
    LOGW("Published item cannot be decoded and is ignored. key="
         << aRecord.mKey << " revision=" << aRecord.mRevision
         << " reason=" << unreadable->mReason);
    return Remove(aRecord.mKey, {});
  }
  return false;
}

bool
PublishedState::ApplyConfiguration(Configuration aConfiguration)
{
  if (mConfiguration && aConfiguration.mVersion <= mConfiguration->mVersion) {
    LOGW("Older or equal configuration version is ignored. version="
         << aConfiguration.mVersion << " inForce=" << mConfiguration->mVersion);
    return false;
  }
  LOGI("Configuration is in force. version="
       << aConfiguration.mVersion << " routes=" << aConfiguration.mRoutes.size()
       << " pools=" << aConfiguration.mPools.size());
  aConfiguration.mPrioritizedPools = FindPrioritizedPools(aConfiguration);
  mConfiguration = std::make_shared<Configuration>(std::move(aConfiguration));
  return true;
}

bool
PublishedState::ApplyEndpoint(const std::string& aKey,
                              const Endpoint& aEndpoint)
{
  mDelayedRemovals.erase(aKey);
  const auto it = mEndpointsByKey.find(aKey);
  if (it != mEndpointsByKey.end() && it->second == aEndpoint) {
    return false;
  }
  LOGI("Endpoint is known. endpoint="
       << aEndpoint.mId << " pool=" << aEndpoint.mPool
       << " address=" << ToText(aEndpoint.mAddress) << " state="
       << (aEndpoint.mState == EndpointState::Ready ? "ready" : "leaving")
       << " coldMilliseconds=" << aEndpoint.mColdRemaining.count()
       << " born=" << aEndpoint.mBorn);
  mEndpointsByKey[aKey] = aEndpoint;
  return true;
}

bool
PublishedState::Remove(const std::string& aKey, global::TimePoint aKeptUntil)
{
  if (mOutZonesByKey.erase(aKey) > 0) {
    LOGI("Availability zone is back in service. key=" << aKey);
    return true;
  }
  const auto it = mEndpointsByKey.find(aKey);
  if (it == mEndpointsByKey.end()) {
    return false;
  }
  const bool isKept = aKeptUntil > mClock.Now();
  if (isKept && it->second.mState == EndpointState::Ready) {
    LOGI(
      "Endpoint lapsed around an outage; its removal is delayed. key=" << aKey);
    mDelayedRemovals[aKey] = aKeptUntil;
    return false;
  }
  LOGI("Endpoint is gone. key=" << aKey << " endpoint=" << it->second.mId);
  mEndpointsByKey.erase(it);
  return true;
}

void
PublishedState::Rebuild()
{
  Snapshot::Endpoints endpoints;
  for (const auto& [key, endpoint] : mEndpointsByKey) {
    endpoints[endpoint.mId] = endpoint;
  }
  std::set<std::string> zones;
  for (const auto& [key, zone] : mOutZonesByKey) {
    zones.insert(zone);
  }
  mCurrent = std::make_shared<Snapshot>(
    mConfiguration, std::move(endpoints), std::move(zones), mRevision);
}

}
