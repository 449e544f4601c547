#pragma once

#include "mesh/meshtypes.h"

#include <map>

namespace beryllever::mesh {

/** What a merge has brought. */
enum class MergeResult
{
  /** Known before, or older than what is known. */
  Nothing,
  Refreshed,
  /** A process that was not alive here, or a new life of one. */
  Joined,
  /** It serves callers now and did not, or the other way round. */
  Changed,
};

/**
 * The processes of the system, as soft state: each life of a process is heard
 * of by its heartbeat, directly or from others, and expires without it.
 */
class MemberTable
{
public:
  MemberTable(const global::IClock& aClock, Member aSelf);

  Member& Self() { return mSelf; }
  const Member& Self() const { return mSelf; }
  MergeResult Merge(const Member& aMember);
  /** Forgets members that have been silent for long; returns those that have
   * just expired. */
  std::vector<Member> Expire();
  /** Members that were heard of lately, without this process. */
  std::vector<Member> Alive() const;
  std::vector<Member> AliveWithRole(const std::string& aRole) const;
  /** Gateways that may be alive: the most that were ever seen at a time. */
  int MostGateways() const { return mMostGateways; }

private:
  struct Entry
  {
    Member mMember;
    global::TimePoint mDeadline;
    bool mIsExpired = false;
  };

  const global::IClock& mClock;
  Member mSelf;
  std::map<std::string, Entry> mEntries;
  int mMostGateways = 1;
};

}
