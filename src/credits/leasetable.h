#pragma once

#include "credits/creditstypes.h"

#include <map>

namespace beryllever::credits {

/** State of one endpoint as known to an entry. */
struct EndpointState
{
  Lease mLease;
  Slots mInUse = 0;
  /** Free slots that no entry has leased, as last reported by the agent. */
  Slots mUnleased = 0;
  /** Capacity of the endpoint, as last reported by the agent. */
  Slots mCapacity = 0;
  /** After a refusal or failure, no request is sent before this time. */
  global::TimePoint mBackoffDeadline{};
};

/** The leases that an entry holds, by endpoint address. */
class LeaseTable
{
public:
  explicit LeaseTable(const global::IClock& aClock);

  /** Stores a lease. It expires here earlier than at the agent that granted it.
   */
  void SetLease(const std::string& aEndpoint,
                const Lease& aLease,
                Slots aUnleased,
                Slots aCapacity);
  /** Removes the lease of an endpoint, for instance after its connection is
   * lost. */
  void RemoveLease(const std::string& aEndpoint);
  /** Removes all leases; requests in flight remain counted. */
  void RemoveAllLeases();

  /** Whether a request may be sent to the endpoint now. */
  bool CanAcquire(const std::string& aEndpoint) const;
  void Acquire(const std::string& aEndpoint);
  void Release(const std::string& aEndpoint);
  /** Sends no new requests to an endpoint for a time. */
  void BackOff(const std::string& aEndpoint, global::Duration aTime);

  /** Requests of this entry in flight at the endpoint, as a fraction of the
   * endpoint's capacity. May exceed 1. */
  double Usage(const std::string& aEndpoint) const;
  const std::map<std::string, EndpointState>& States() const { return mStates; }

private:
  const global::IClock& mClock;
  std::map<std::string, EndpointState> mStates;
};

}
