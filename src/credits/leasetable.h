#pragma once

#include "credits/creditstypes.h"

#include <map>

namespace beryllever::credits {

/** An entry's view of one endpoint. */
struct EndpointState
{
  Lease mLease;
  Slots mInUse = 0;
  /** Free slots that no entry has leased, as last reported. */
  Slots mUnleased = 0;
  /** Slots that the endpoint bears, as last reported. */
  Slots mCapacity = 0;
  /** Not chosen before this time, after a refusal or a failure. */
  global::TimePoint mBackoffDeadline{};
};

/** Leases that an entry holds from endpoints, by endpoint address. */
class LeaseTable
{
public:
  explicit LeaseTable(const global::IClock& aClock);

  /** Takes a lease. It ends here earlier than at its giver. */
  void SetLease(const std::string& aEndpoint,
                const Lease& aLease,
                Slots aUnleased,
                Slots aBears);
  /** Forgets an endpoint's lease, for instance when its connection is lost. */
  void RemoveLease(const std::string& aEndpoint);
  /** Forgets all leases; requests in flight stay counted. */
  void RemoveAllLeases();

  /** Whether a request may be sent to the endpoint now. */
  bool CanAcquire(const std::string& aEndpoint) const;
  void Acquire(const std::string& aEndpoint);
  void Release(const std::string& aEndpoint);
  /** Keeps new requests away from an endpoint for a moment. */
  void BackOff(const std::string& aEndpoint, global::Duration aTime);

  /** Share of the endpoint's slots that this entry uses, from 0 up. */
  double Usage(const std::string& aEndpoint) const;
  const std::map<std::string, EndpointState>& States() const { return mStates; }

private:
  const global::IClock& mClock;
  std::map<std::string, EndpointState> mStates;
};

}
