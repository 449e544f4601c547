#pragma once

#include "credits/creditstypes.h"

#include <map>

namespace beryllever::credits {

/** An entry's view of one endpoint. */
struct WalletState
{
  Lease mLease;
  Slots mInUse = 0;
  /** Free slots that no entry has leased, as last reported. */
  Slots mUnleased = 0;
  /** Slots that the endpoint bears, as last reported. */
  Slots mBears = 0;
  /** Not chosen before this time, after a refusal or a failure. */
  global::TimePoint mAvoidUntil{};
};

/** Leases that an entry holds from endpoints, by endpoint address. */
class CreditWallet
{
public:
  explicit CreditWallet(const global::IClock& aClock);

  /** Takes a lease. It ends here earlier than at its giver. */
  void TakeLease(const std::string& aEndpoint,
                 const Lease& aLease,
                 Slots aUnleased,
                 Slots aBears);
  /** Forgets an endpoint's lease, for instance when its connection is lost. */
  void Forget(const std::string& aEndpoint);
  /** Forgets all leases; requests in flight stay counted. */
  void ForgetAll();

  /** Whether a request may be sent to the endpoint now. */
  bool CanUse(const std::string& aEndpoint) const;
  void Use(const std::string& aEndpoint);
  void Return(const std::string& aEndpoint);
  /** Keeps new requests away from an endpoint for a moment. */
  void Avoid(const std::string& aEndpoint, global::Duration aTime);

  /** Share of the endpoint's slots that this entry uses, from 0 up. */
  double Usage(const std::string& aEndpoint) const;
  const std::map<std::string, WalletState>& States() const { return mStates; }

private:
  const global::IClock& mClock;
  std::map<std::string, WalletState> mStates;
};

}
