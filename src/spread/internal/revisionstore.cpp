#include "spread/revisionstore.h"

#include "framework/global/hashing.h"

#include <algorithm>
#include <set>

namespace beryllever::spread {

namespace {

constexpr size_t kMaxTombstones = 4096;

uint64_t
EntryDigest(const Change& aEntry)
{
  return global::StableHash(aEntry.mValue, global::StableHash(aEntry.mKey));
}

}

ApplyResult
RevisionStore::TakeSnapshot(const std::vector<Change>& aEntries,
                            uint64_t aRevision)
{
  return Apply(ToFullSet(aEntries, aRevision));
}

ApplyResult
RevisionStore::Apply(const ChangeSet& aSet)
{
  if (aSet.mTo <= mRevision) {
    return { ApplyStatus::Stale, {} };
  }
  if (!aSet.mIsFull && aSet.mFrom > mRevision) {
    return { ApplyStatus::Gap, {} };
  }
  const std::vector<Change> effective = EffectiveChanges(aSet);
  if (DigestAfter(effective) != aSet.mDigest) {
    return { ApplyStatus::Diverged, {} };
  }
  if (mRevision == 0) {
    mTombstonesSince = aSet.mTo;
  }
  for (const Change& change : effective) {
    Store(change);
  }
  mRevision = aSet.mTo;
  mDigest = aSet.mDigest;
  return { ApplyStatus::Applied, effective };
}

ChangeSet
RevisionStore::ChangesSince(uint64_t aRevision) const
{
  ChangeSet set{ .mFrom = aRevision,
                 .mTo = mRevision,
                 .mIsFull = aRevision < mTombstonesSince,
                 .mDigest = mDigest };
  for (const auto& [key, entry] : mEntries) {
    if (set.mIsFull || entry.mRevision > aRevision) {
      set.mChanges.push_back(entry);
    }
  }
  for (const auto& [key, revision] : mTombstones) {
    if (!set.mIsFull && revision > aRevision) {
      set.mChanges.push_back({ key, "", revision, true });
    }
  }
  return set;
}

ChangeSet
RevisionStore::ToFullSet(const std::vector<Change>& aEntries,
                         uint64_t aRevision) const
{
  ChangeSet set{ .mTo = aRevision, .mIsFull = true, .mChanges = aEntries };
  for (const Change& entry : aEntries) {
    set.mDigest ^= EntryDigest(entry);
  }
  return set;
}

std::vector<Change>
RevisionStore::EffectiveChanges(const ChangeSet& aSet) const
{
  std::vector<Change> effective;
  std::set<std::string> listed;
  for (const Change& change : aSet.mChanges) {
    if (aSet.mIsFull) {
      listed.insert(change.mKey);
    }
    const auto it = mEntries.find(change.mKey);
    const bool isKnown = it != mEntries.end();
    const bool isSame = change.mIsDeleted
                          ? !isKnown
                          : isKnown && it->second.mValue == change.mValue;
    if (!isSame) {
      effective.push_back(change);
    }
  }
  if (aSet.mIsFull) {
    for (const auto& [key, entry] : mEntries) {
      if (!listed.contains(key)) {
        effective.push_back({ key, "", aSet.mTo, true });
      }
    }
  }
  return effective;
}

uint64_t
RevisionStore::DigestAfter(const std::vector<Change>& aEffective) const
{
  uint64_t digest = mDigest;
  for (const Change& change : aEffective) {
    if (const auto it = mEntries.find(change.mKey); it != mEntries.end()) {
      digest ^= EntryDigest(it->second);
    }
    if (!change.mIsDeleted) {
      digest ^= EntryDigest(change);
    }
  }
  return digest;
}

void
RevisionStore::Store(const Change& aChange)
{
  if (!aChange.mIsDeleted) {
    mTombstones.erase(aChange.mKey);
    mEntries[aChange.mKey] = aChange;
    return;
  }
  mEntries.erase(aChange.mKey);
  mTombstones[aChange.mKey] = aChange.mRevision;
  if (mTombstones.size() > kMaxTombstones) {
    mTombstonesSince = std::max(mTombstonesSince, aChange.mRevision);
    mTombstones.clear();
  }
}

}
