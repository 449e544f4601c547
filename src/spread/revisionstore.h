#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace beryllever::spread {

/** Value or deletion of one entry as of a revision. */
struct Change
{
  std::string mKey;
  std::string mValue;
  uint64_t mRevision = 0;
  bool mIsDeleted = false;
};

/** Changes that lead from one revision to a later one. */
struct ChangeSet
{
  /** The receiver must be at this revision or later, unless the set is full. */
  uint64_t mFrom = 0;
  uint64_t mTo = 0;
  /** Whether the changes list all entries; those not listed are deleted. */
  bool mIsFull = false;
  /** Digest of all entries at the later revision. */
  uint64_t mDigest = 0;
  std::vector<Change> mChanges;
};

/** Outcome of applying a change set. */
enum class ApplyStatus
{
  Applied,
  /** The set leads to a revision that is not above the store's. */
  Stale,
  /** The set starts above the store's revision. */
  Gap,
  /** The resulting entries do not have the digest of the set. */
  Diverged,
};

/** Result of applying a change set. */
struct ApplyResult
{
  ApplyStatus mStatus = ApplyStatus::Stale;
  /** Entries whose value has changed, or that have been deleted. */
  std::vector<Change> mChangedEntries;
};

/**
 * Replica of the entries of the platform's snapshots. An entry with revision r
 * has its value in snapshot r, so the highest revision wins whatever the order
 * of arrival. The revision of the store never decreases.
 */
class RevisionStore
{
public:
  /** Applies a snapshot of all entries, as read from the platform. */
  ApplyResult TakeSnapshot(const std::vector<Change>& aEntries,
                           uint64_t aRevision);
  /** Applies changes from a peer; they are rejected as a whole if they are
   * stale, leave a gap, or do not result in their digest. */
  ApplyResult Apply(const ChangeSet& aSet);
  /** Changes that lead a peer from aRevision to the store's revision. */
  ChangeSet ChangesSince(uint64_t aRevision) const;

  uint64_t Revision() const { return mRevision; }
  uint64_t Digest() const { return mDigest; }
  size_t Size() const { return mEntries.size(); }

private:
  ChangeSet ToFullSet(const std::vector<Change>& aEntries,
                      uint64_t aRevision) const;
  std::vector<Change> EffectiveChanges(const ChangeSet& aSet) const;
  uint64_t DigestAfter(const std::vector<Change>& aEffective) const;
  void Store(const Change& aChange);

  std::map<std::string, Change> mEntries;
  /** Keys of deleted entries, with the revisions of their deletion. */
  std::map<std::string, uint64_t> mTombstones;
  uint64_t mRevision = 0;
  uint64_t mDigest = 0;
  /** Tombstones up to this revision are not kept. */
  uint64_t mTombstonesSince = 0;
};

}
