#pragma once

#include "mesh/meshtypes.h"

#include <map>

namespace beryllever::mesh {

/** Result of merging a member into the table. */
enum class MergeResult
{
  /** The member is this process, or not newer than its entry in the table. */
  Ignored,
  Refreshed,
  /** The process was not alive in the table, or has a new incarnation. */
  Joined,
  /** The process has begun or ceased to serve callers. */
  Changed,
};

/**
 * The processes of the system, as soft state: an entry is refreshed by newer
 * heartbeats of the process, received directly or relayed, and expires without
 * them.
 */
class MemberTable
{
public:
  MemberTable(const global::IClock& aClock, Member aSelf);

  Member& Self() { return mSelf; }
  const Member& Self() const { return mSelf; }
  MergeResult Merge(const Member& aMember);
  /** Removes members that expired long ago; returns those that have expired
   * since the last call. */
  std::vector<Member> Expire();
  /** Members that have not expired, without this process. */
  std::vector<Member> Alive() const;
  std::vector<Member> AliveWithRole(const std::string& aRole) const;
  /** When the newest heartbeat of a process arrived, directly or relayed. */
  global::TimePoint LastHeard(const std::string& aVm) const;
  /** Names of the gateways that may be alive, with this one if it is a gateway.
   * A gateway that has gone silent is kept for a while: it may be cut off. */
  std::vector<std::string> KnownGateways() const;
  /** Whether this process has learned of all gateways: no further one has
   * appeared for a while, or a process that knows them all has been heard. */
  bool KnowsAllGateways() const;
  /** Number of gateways that may be alive, at least, by what is known. */
  int GatewayCount() const;

private:
  void RecordGateway(const Member& aMember);

  struct Entry
  {
    Member mMember;
    global::TimePoint mDeadline;
    bool mIsExpired = false;
  };

  const global::IClock& mClock;
  Member mSelf;
  std::map<std::string, Entry> mEntries;
  /** When each gateway was last heard. */
  std::map<std::string, global::TimePoint> mGateways;
  /** When a gateway was heard for the first time; at first, the start. */
  global::TimePoint mLastNewGateway;
  /** Most gateways that a process which knows them all has stated. */
  size_t mStatedGateways = 0;
};

}
