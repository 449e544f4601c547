#include "published/publishedstate.h"

#include "framework/log/log.h"
#include "published/priorities.h"

#include <algorithm>

namespace beryllever::published {

namespace {

constexpr char kLogTag[] = "published";
/** The platform's documentation states that live endpoints are registered again
 * within about two seconds of the end of an outage, also if the store was
 * restored from a copy that lacks them. */
constexpr std::chrono::milliseconds kReregistrationTime{ 2200 };
/** Time for which a zone stays out of service that a restored store lacks.
 * Operators write it again, but not within a stated time; a zone that takes
 * requests too early costs more than one that takes none for too long. */
constexpr std::chrono::seconds kZoneRewriteTime{ 10 };

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
                             const StorePosition& aPosition)
{
  if (aPosition.mEra > mPosition.mEra) {
    BeginEra(aPosition);
  }
  if (!IsCurrentEra(aPosition)) {
    return false;
  }
  bool isChanged = false;
  std::set<std::string> listed;
  for (const Record& record : aRecords) {
    listed.insert(record.mKey);
    isChanged = ApplyRecord(record) || isChanged;
  }
  for (auto& [key, record] : mRecords) {
    // Items of older eras are removed when their time ends.
    const bool isCovered =
      record.mPosition.mEra == aPosition.mEra && record.mPosition <= aPosition;
    if (!record.mIsDeleted && isCovered && !listed.contains(key)) {
      record = { .mKey = key, .mPosition = aPosition, .mIsDeleted = true };
      isChanged = Remove(key, ReregistrationDeadline()) || isChanged;
    }
  }
  if (aPosition > mPosition) {
    mPosition = aPosition;
    mTombstonesSince = aPosition;
  }
  Rebuild();
  return isChanged;
}

bool
PublishedState::ApplyChanges(const std::vector<Record>& aRecords,
                             const StorePosition& aPosition)
{
  if (!IsCurrentEra(aPosition)) {
    return false;
  }
  bool isChanged = false;
  mPosition = std::max(mPosition, aPosition);
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
  return aBatch.mIsFull ? ApplyListing(aBatch.mRecords, aBatch.mPosition)
                        : ApplyChanges(aBatch.mRecords, aBatch.mPosition);
}

bool
PublishedState::IsCurrentEra(const StorePosition& aPosition) const
{
  if (aPosition.mEra == mPosition.mEra) {
    return true;
  }
  LOGI("Published items of another era are ignored. era="
       << aPosition.mEra << " revision=" << aPosition.mRevision
       << " currentEra=" << mPosition.mEra);
  return false;
}

void
PublishedState::BeginEra(const StorePosition& aPosition)
{
  if (mPosition != StorePosition{}) {
    LOGW(
      "The store has been restored from a copy; items that it lacks are kept "
      "for a while. era="
      << aPosition.mEra << " revision=" << aPosition.mRevision
      << " oldEra=" << mPosition.mEra << " oldRevision=" << mPosition.mRevision
      << " keptMilliseconds=" << kReregistrationTime.count());
  }
  mPosition = aPosition;
  // Changes since a position of an older era are not known.
  mTombstonesSince = aPosition;
  mOldErasUntil = mClock.Now() + kReregistrationTime;
  mOldZonesUntil = mClock.Now() + kZoneRewriteTime;
}

bool
PublishedState::ExpireOldEras()
{
  const auto now = mClock.Now();
  bool isChanged = false;
  if (mOldErasUntil && *mOldErasUntil <= now) {
    mOldErasUntil.reset();
    isChanged = RemoveOldItems(&PublishedState::IsOldItem);
  }
  if (mOldZonesUntil && *mOldZonesUntil <= now) {
    mOldZonesUntil.reset();
    isChanged = RemoveOldItems(&PublishedState::IsOldZone) || isChanged;
  }
  return isChanged;
}

bool
PublishedState::IsOldZone(const Record& aRecord) const
{
  return aRecord.mPosition.mEra != mPosition.mEra &&
         mOutZonesByKey.contains(aRecord.mKey);
}

bool
PublishedState::IsOldItem(const Record& aRecord) const
{
  // The configuration in force is never removed, and peers that start later
  // need it.
  return aRecord.mPosition.mEra != mPosition.mEra && !IsOldZone(aRecord) &&
         aRecord.mKey != mConfigurationRecord.mKey;
}

bool
PublishedState::RemoveOldItems(bool (PublishedState::*aIsOld)(const Record&)
                                 const)
{
  bool isChanged = false;
  for (auto it = mRecords.begin(); it != mRecords.end();) {
    const auto& [key, record] = *it;
    if (!(this->*aIsOld)(record)) {
      ++it;
      continue;
    }
    if (!record.mIsDeleted) {
      LOGI("Published item was not written again after the store was restored. "
           "key="
           << key << " era=" << record.mPosition.mEra
           << " revision=" << record.mPosition.mRevision);
      isChanged = Remove(key, {}) || isChanged;
    }
    it = mRecords.erase(it);
  }
  return isChanged;
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
  const bool isChanged = ExpireOldEras() || removed > 0;
  if (isChanged) {
    Rebuild();
  }
  return isChanged;
}

RecordBatch
PublishedState::RecordsSince(const StorePosition& aPosition) const
{
  RecordBatch batch{ .mPosition = mPosition,
                     .mIsFull = aPosition < mTombstonesSince,
                     .mRecords = {} };
  for (const auto& [key, record] : mRecords) {
    if (!batch.mIsFull && record.mPosition <= aPosition) {
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
  // A peer may still have items of an older era in force that have been removed
  // here.
  const bool isExpired =
    aRecord.mPosition.mEra < mPosition.mEra && !mOldErasUntil;
  const auto it = mRecords.find(aRecord.mKey);
  if (isExpired ||
      (it != mRecords.end() && it->second.mPosition >= aRecord.mPosition)) {
    return false;
  }
  mRecords[aRecord.mKey] = aRecord;
  if (aRecord.mIsDeleted) {
    return Remove(aRecord.mKey,
                  std::max(ReregistrationDeadline(), aRecord.mKeptUntil));
  }
  Item item = mCodec.Decode(aRecord.mKey, aRecord.mData);
  if (auto* configuration = std::get_if<Configuration>(&item)) {
    return ApplyConfiguration(aRecord, std::move(*configuration));
  }
  if (const auto* endpoint = std::get_if<Endpoint>(&item)) {
    return ApplyEndpoint(aRecord.mKey, *endpoint);
  }
  if (const auto* outOfService = std::get_if<OutOfService>(&item)) {
    LOGI("Availability zone is out of service. availabilityZone="
         << outOfService->mAvailabilityZone
         << " revision=" << aRecord.mPosition.mRevision);
    mOutZonesByKey[aRecord.mKey] = outOfService->mAvailabilityZone;
    return true;
  }
  if (const auto* unreadable = std::get_if<Unreadable>(&item)) {
    LOGW("Published item cannot be decoded and is ignored. key="
         << aRecord.mKey << " revision=" << aRecord.mPosition.mRevision
         << " reason=" << unreadable->mReason);
    return Remove(aRecord.mKey, {});
  }
  return false;
}

bool
PublishedState::ApplyConfiguration(const Record& aRecord,
                                   Configuration aConfiguration)
{
  if (mConfiguration && aConfiguration.mVersion <= mConfiguration->mVersion) {
    LOGW("Older or equal configuration version is ignored. version="
         << aConfiguration.mVersion << " inForce=" << mConfiguration->mVersion);
    // Peers that start later get the version in force, not that of the copy.
    mRecords[aRecord.mKey].mData = mConfigurationRecord.mData;
    return false;
  }
  LOGI("Configuration is in force. version="
       << aConfiguration.mVersion << " routes=" << aConfiguration.mRoutes.size()
       << " pools=" << aConfiguration.mPools.size()
       << " idleMilliseconds=" << aConfiguration.mLimits.mIdleTimeout.count());
  aConfiguration.mPrioritizedPools = FindPrioritizedPools(aConfiguration);
  mConfigurationRecord = aRecord;
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
  mCurrent = std::make_shared<Snapshot>(mConfiguration,
                                        std::move(endpoints),
                                        std::move(zones),
                                        mPosition.mRevision);
}

}
