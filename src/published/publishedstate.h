#pragma once

#include "framework/global/iclock.h"
#include "published/irecordcodec.h"
#include "published/snapshot.h"

#include <map>
#include <memory>

namespace beryllever::published {

/**
 * The published items known to this process. For each key the highest position
 * wins whatever the order of arrival, and the version of the configuration
 * never decreases while the process runs. What is of an older era than the
 * highest one seen is ignored; items that the new era lacks stay in force for a
 * while, because their owners write them again.
 */
class PublishedState
{
public:
  PublishedState(const IRecordCodec& aCodec, const global::IClock& aClock);

  /** Both return whether the snapshot has changed. */
  bool ApplyListing(const std::vector<Record>& aRecords,
                    const StorePosition& aPosition);
  bool ApplyChanges(const std::vector<Record>& aRecords,
                    const StorePosition& aPosition);
  /** Applies what a peer has sent; returns whether the snapshot has changed. */
  bool Apply(const RecordBatch& aBatch);

  /** Record that the platform has failed or answered. Removals of endpoints
   * around an outage are delayed, because live ones are registered again soon
   * after it. */
  void RecordFailure();
  void RecordContact();
  /** Carries out delayed removals that are due, also of items that the current
   * era lacks; returns whether there were any. */
  bool ExpireRemovals();

  /** Undecoded items for a peer that knows those up to aPosition: the newer
   * ones, or all if some removals since then are not known here. */
  RecordBatch RecordsSince(const StorePosition& aPosition) const;
  /** Position up to which all changes are known. */
  const StorePosition& Position() const { return mPosition; }
  std::shared_ptr<const Snapshot> Current() const { return mCurrent; }

private:
  /** Whether aPosition is of the current era; logs what is ignored if not. */
  bool IsCurrentEra(const StorePosition& aPosition) const;
  /** Items of older eras stay in force from now on for a limited time. */
  void BeginEra(const StorePosition& aPosition);
  bool ExpireOldEras();
  /** Whether a zone out of service was written in an older era. */
  bool IsOldZone(const Record& aRecord) const;
  /** Whether any other item but the configuration in force was written in an
   * older era. */
  bool IsOldItem(const Record& aRecord) const;
  bool RemoveOldItems(bool (PublishedState::*aIsOld)(const Record&) const);
  bool ApplyRecord(const Record& aRecord);
  bool ApplyConfiguration(const Record& aRecord, Configuration aConfiguration);
  bool ApplyEndpoint(const std::string& aKey, const Endpoint& aEndpoint);
  /** Removes an item. A ready endpoint stays until aKeptUntil if that is in the
   * future. */
  bool Remove(const std::string& aKey, global::TimePoint aKeptUntil);
  /** Time until which endpoints that lapsed in the last outage may be
   * registered again. */
  global::TimePoint ReregistrationDeadline() const;
  void Rebuild();

  const IRecordCodec& mCodec;
  const global::IClock& mClock;
  std::map<std::string, Record> mRecords;
  StorePosition mPosition;
  /** Removals after this position are all known. A listing does not tell what
   * was removed before it. */
  StorePosition mTombstonesSince;
  /** Time until which items of older eras are accepted and, but for zones and
   * the configuration, stay in force. */
  std::optional<global::TimePoint> mOldErasUntil;
  /** The same for zones out of service. */
  std::optional<global::TimePoint> mOldZonesUntil;
  /** Configuration in force as it was written. Its key is empty if there is
   * none. */
  Record mConfigurationRecord;
  std::shared_ptr<const Configuration> mConfiguration;
  std::map<std::string, Endpoint> mEndpointsByKey;
  std::map<std::string, std::string> mOutZonesByKey;
  /** Keys of endpoints that were removed around an outage, with the time until
   * which each is kept. */
  std::map<std::string, global::TimePoint> mDelayedRemovals;
  global::TimePoint mLastFailure{};
  bool mHasFailed = false;
  std::shared_ptr<const Snapshot> mCurrent;
};

}
