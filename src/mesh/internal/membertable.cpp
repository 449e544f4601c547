#include "mesh/membertable.h"

#include <algorithm>

namespace beryllever::mesh {

namespace {

using std::chrono::milliseconds;

/** Time without a newer heartbeat after which a process counts as gone: several
 * gossip rounds, and well below the time for which callers may be given the
 * address of a dead process. */
constexpr milliseconds kMemberTimeout{ 2500 };
/** Time for which an expired process stays in the table. */
constexpr std::chrono::seconds kExpiredRetention{ 60 };
/** Time for which a silent gateway counts as one that may be alive. */
constexpr std::chrono::minutes kGatewayRetention{ 10 };
/** Time without a new gateway after which all are known. Several gossip rounds
 * between zones. */
constexpr milliseconds kDiscoveryTime{ 2000 };

}

MemberTable::MemberTable(const global::IClock& aClock, Member aSelf)
  : mClock(aClock)
  , mSelf(std::move(aSelf))
  , mLastNewGateway(aClock.Now())
{
}

MergeResult
MemberTable::Merge(const Member& aMember)
{
  if (aMember.mVm == mSelf.mVm) {
    return MergeResult::Ignored;
  }
  const auto deadline = mClock.Now() + kMemberTimeout;
  const auto [it, isNew] =
    mEntries.try_emplace(aMember.mVm, Entry{ aMember, deadline });
  Entry& entry = it->second;
  if (!isNew) {
    const Member& known = entry.mMember;
    const bool isNewer = aMember.mIncarnation > known.mIncarnation ||
                         (aMember.mIncarnation == known.mIncarnation &&
                          aMember.mHeartbeat > known.mHeartbeat);
    if (!isNewer) {
      return MergeResult::Ignored;
    }
  }
  const bool hasJoined = isNew || entry.mIsExpired ||
                         aMember.mIncarnation > entry.mMember.mIncarnation;
  const bool hasChanged = entry.mMember.mIsServing != aMember.mIsServing;
  entry = { aMember, deadline };
  RecordGateway(aMember);
  if (hasJoined) {
    return MergeResult::Joined;
  }
  return hasChanged ? MergeResult::Changed : MergeResult::Refreshed;
}

void
MemberTable::RecordGateway(const Member& aMember)
{
  if (aMember.mRole != kGatewayRole) {
    return;
  }
  const auto now = mClock.Now();
  if (mGateways.insert_or_assign(aMember.mVm, now).second) {
    mLastNewGateway = now;
  }
  mStatedGateways =
    std::max(mStatedGateways, static_cast<size_t>(aMember.mKnownGateways));
}

std::vector<std::string>
MemberTable::KnownGateways() const
{
  std::vector<std::string> names;
  if (mSelf.mRole == kGatewayRole) {
    names.push_back(mSelf.mVm);
  }
  for (const auto& [vm, lastHeard] : mGateways) {
    names.push_back(vm);
  }
  return names;
}

bool
MemberTable::KnowsAllGateways() const
{
  const bool isDiscoveryOver =
    !mGateways.empty() && mClock.Now() - mLastNewGateway >= kDiscoveryTime;
  return mStatedGateways > 0 || isDiscoveryOver;
}

int
MemberTable::GatewayCount() const
{
  return static_cast<int>(std::max(KnownGateways().size(), mStatedGateways));
}

std::vector<Member>
MemberTable::Expire()
{
  const auto now = mClock.Now();
  std::erase_if(mGateways, [&](const auto& aGateway) {
    return aGateway.second + kGatewayRetention <= now;
  });
  std::vector<Member> expired;
  for (auto& [vm, entry] : mEntries) {
    if (!entry.mIsExpired && entry.mDeadline <= now) {
      entry.mIsExpired = true;
      expired.push_back(entry.mMember);
    }
  }
  std::erase_if(mEntries, [&](const auto& aEntry) {
    return aEntry.second.mDeadline + kExpiredRetention <= now;
  });
  return expired;
}

std::vector<Member>
MemberTable::Alive() const
{
  const auto now = mClock.Now();
  std::vector<Member> alive;
  for (const auto& [vm, entry] : mEntries) {
    if (entry.mDeadline > now) {
      alive.push_back(entry.mMember);
    }
  }
  return alive;
}

global::TimePoint
MemberTable::LastHeard(const std::string& aVm) const
{
  const auto it = mEntries.find(aVm);
  return it == mEntries.end() ? global::TimePoint{}
                              : it->second.mDeadline - kMemberTimeout;
}

std::vector<Member>
MemberTable::AliveWithRole(const std::string& aRole) const
{
  std::vector<Member> alive = Alive();
  std::erase_if(alive,
                [&](const Member& aMember) { return aMember.mRole != aRole; });
  return alive;
}

}
