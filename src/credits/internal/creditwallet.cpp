#include "credits/creditwallet.h"

#include <algorithm>

namespace beryllever::credits {

namespace {

/** Covers clock rates and the way of the message, so that no entry holds on
 * longer than the giver. */
constexpr std::chrono::milliseconds kEarlyEnd{ 500 };

}

CreditWallet::CreditWallet(const global::IClock& aClock)
  : mClock(aClock)
{
}

void
CreditWallet::TakeLease(const std::string& aEndpoint,
                        const Lease& aLease,
                        Slots aUnleased,
                        Slots aBears)
{
  WalletState& state = mStates[aEndpoint];
  state.mLease = { aLease.mSlots, aLease.mDeadline - kEarlyEnd };
  state.mUnleased = aUnleased;
  state.mBears = aBears;
}

void
CreditWallet::Forget(const std::string& aEndpoint)
{
  if (const auto it = mStates.find(aEndpoint); it != mStates.end()) {
    it->second.mLease = {};
    it->second.mUnleased = 0;
    it->second.mBears = 0;
  }
}

void
CreditWallet::ForgetAll()
{
  for (auto& [endpoint, state] : mStates) {
    Forget(endpoint);
  }
}

bool
CreditWallet::CanUse(const std::string& aEndpoint) const
{
  const auto it = mStates.find(aEndpoint);
  if (it == mStates.end()) {
    return false;
  }
  const WalletState& state = it->second;
  const global::TimePoint now = mClock.Now();
  if (now < state.mAvoidUntil || now >= state.mLease.mDeadline) {
    return false;
  }
  return state.mInUse < state.mLease.mSlots + state.mUnleased;
}

void
CreditWallet::Use(const std::string& aEndpoint)
{
  WalletState& state = mStates[aEndpoint];
  if (state.mInUse >= state.mLease.mSlots) {
    state.mUnleased = std::max(0, state.mUnleased - 1);
  }
  ++state.mInUse;
}

void
CreditWallet::Return(const std::string& aEndpoint)
{
  WalletState& state = mStates[aEndpoint];
  if (state.mInUse == 0) {
    return;
  }
  if (state.mInUse > state.mLease.mSlots) {
    ++state.mUnleased;
  }
  --state.mInUse;
}

void
CreditWallet::Avoid(const std::string& aEndpoint, global::Duration aTime)
{
  mStates[aEndpoint].mAvoidUntil = mClock.Now() + aTime;
}

double
CreditWallet::Usage(const std::string& aEndpoint) const
{
  const auto it = mStates.find(aEndpoint);
  if (it == mStates.end()) {
    return 0;
  }
  const WalletState& state = it->second;
  return static_cast<double>(state.mInUse) / std::max(1, state.mBears);
}

}
