#include "credits/leasetable.h"

#include <algorithm>

namespace beryllever::credits {

namespace {

/** Covers clock drift and message delay, so that no entry uses a lease that has
 * expired at the agent. */
constexpr std::chrono::milliseconds kLeaseSafetyMargin{ 500 };

}

LeaseTable::LeaseTable(const global::IClock& aClock)
  : mClock(aClock)
{
}

void
LeaseTable::SetLease(const std::string& aEndpoint,
                     const Lease& aLease,
                     Slots aUnleased,
                     Slots aCapacity)
{
  EndpointState& state = mStates[aEndpoint];
  state.mLease = { aLease.mSlots, aLease.mDeadline - kLeaseSafetyMargin };
  state.mUnleased = aUnleased;
  state.mCapacity = aCapacity;
}

void
LeaseTable::RemoveLease(const std::string& aEndpoint)
{
  if (const auto it = mStates.find(aEndpoint); it != mStates.end()) {
    it->second.mLease = {};
    it->second.mUnleased = 0;
    it->second.mCapacity = 0;
  }
}

void
LeaseTable::RemoveAllLeases()
{
  for (auto& [endpoint, state] : mStates) {
    RemoveLease(endpoint);
  }
}

bool
LeaseTable::CanAcquire(const std::string& aEndpoint) const
{
  const auto it = mStates.find(aEndpoint);
  if (it == mStates.end()) {
    return false;
  }
  const EndpointState& state = it->second;
  const global::TimePoint now = mClock.Now();
  if (now < state.mBackoffDeadline || now >= state.mLease.mDeadline) {
    return false;
  }
  return state.mInUse < state.mLease.mSlots + state.mUnleased;
}

void
LeaseTable::Acquire(const std::string& aEndpoint)
{
  EndpointState& state = mStates[aEndpoint];
  if (state.mInUse >= state.mLease.mSlots) {
    state.mUnleased = std::max(0, state.mUnleased - 1);
  }
  ++state.mInUse;
}

void
LeaseTable::Release(const std::string& aEndpoint)
{
  EndpointState& state = mStates[aEndpoint];
  if (state.mInUse == 0) {
    return;
  }
  if (state.mInUse > state.mLease.mSlots) {
    ++state.mUnleased;
  }
  --state.mInUse;
}

void
LeaseTable::BackOff(const std::string& aEndpoint, global::Duration aTime)
{
  mStates[aEndpoint].mBackoffDeadline = mClock.Now() + aTime;
}

double
LeaseTable::Usage(const std::string& aEndpoint) const
{
  const auto it = mStates.find(aEndpoint);
  if (it == mStates.end()) {
    return 0;
  }
  const EndpointState& state = it->second;
  return static_cast<double>(state.mInUse) / std::max(1, state.mCapacity);
}

}
