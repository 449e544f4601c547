#pragma once

#include "framework/global/iclock.h"
#include "published/irecordcodec.h"
#include "published/snapshot.h"

#include <map>
#include <memory>

namespace beryllever::published {

/**
 * The published items known to this process. For each key the highest revision
 * wins whatever the order of arrival, and the version of the configuration
 * never decreases while the process runs.
 */
class PublishedState
{
public:
  PublishedState(const IRecordCodec& aCodec, const global::IClock& aClock);

  /** Both return whether the snapshot has changed. */
  bool ApplyListing(const std::vector<Record>& aRecords, uint64_t aRevision);
  bool ApplyChanges(const std::vector<Record>& aRecords, uint64_t aRevision);
  /** Applies what a peer has sent; returns whether the snapshot has changed. */
  bool Apply(const RecordBatch& aBatch);

  /** Record that the platform has failed or answered. Removals of endpoints
   * around an outage are delayed, because live ones are registered again soon
   * after it. */
  void RecordFailure();
  void RecordContact();
  /** Carries out delayed removals that are due; returns whether there were any.
   */
  bool ExpireRemovals();

  /** Undecoded items for a peer that knows those up to aRevision: the newer
   * ones, or all if some removals since then are not known here. */
  RecordBatch RecordsSince(uint64_t aRevision) const;
  /** Revision up to which all changes are known. */
  uint64_t Revision() const { return mRevision; }
  std::shared_ptr<const Snapshot> Current() const { return mCurrent; }

private:
  bool ApplyRecord(const Record& aRecord);
  bool ApplyConfiguration(Configuration aConfiguration);
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
  uint64_t mRevision = 0;
  /** Removals after this revision are all known. A listing does not tell what
   * was removed before it. */
  uint64_t mTombstonesSince = 0;
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
