#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace beryllever::spread {

/** One entry as of a revision. */
struct Change
{
  std::string mKey;
  std::string mValue;
  uint64_t mRevision = 0;
  bool mIsDeleted = false;
};

/** What leads from one revision to a later one. */
struct ChangeSet
{
  /** The receiver must be at this revision or later, unless the set is full. */
  uint64_t mFrom = 0;
  uint64_t mTo = 0;
  /** Whether the changes are all entries; others are deleted. */
  bool mIsFull = false;
  /** Digest of all entries at the later revision. */
  uint64_t mDigest = 0;
  std::vector<Change> mChanges;
};

/** What became of a change set. */
enum class Verdict
{
  Applied,
  /** It leads to a revision that is not above the store's. */
  Stale,
  /** It starts after the store's revision. */
  Gap,
  /** The result does not have the stated digest. */
  Diverged,
};

/** Result of applying a change set. */
struct Application
{
  Verdict mVerdict = Verdict::Stale;
  /** Entries whose value has changed. */
  std::vector<Change> mEffective;
};

/**
 * Entries with revisions. An entry with revision r has the value that the
 * platform's snapshot r gives it, so the highest revision wins whatever the
 * order of arrival. The store never goes to a lower revision.
 */
class RevisionStore
{
public:
  /** Takes a snapshot of all entries, as read from the platform. */
  Application TakeSnapshot(const std::vector<Change>& aEntries,
                           uint64_t aRevision);
  /** Takes changes from a peer. */
  Application Apply(const ChangeSet& aSet);
  /** Changes that lead a peer from a revision to this store's. */
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
  std::map<std::string, uint64_t> mDeleted;
  uint64_t mRevision = 0;
  uint64_t mDigest = 0;
  /** Deletions before this revision are not known. */
  uint64_t mDeletionsSince = 0;
};

}
