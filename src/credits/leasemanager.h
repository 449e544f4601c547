#pragma once

#include "credits/creditstypes.h"

#include <map>

namespace beryllever::credits {

/** Why a request is or is not let in. */
enum class Admission
{
  Admitted,
  /** The endpoint holds as much as it bears. */
  Full,
  /** The free slots are leased to other entries. */
  LeasedToOthers,
};

/**
 * Slots of one endpoint, shared between entries by leases. The leased slots and
 * the running requests never add up to more than the capacity at the time of
 * the lease, and no request is let in above the capacity of this moment.
 */
class LeaseManager
{
public:
  explicit LeaseManager(const global::IClock& aClock);

  void SetCapacity(Slots aCapacity) { mCapacity = aCapacity; }

  /** Renews or changes an entry's lease. */
  Lease Renew(const std::string& aEntry, const Demand& aDemand);
  /** Decides about a request of an entry; an admitted one must be released. */
  Admission Admit(const std::string& aEntry);
  void Release(const std::string& aEntry);
  /** Gives back the lease of an entry whose connection is known to be closed.
   */
  void RevokeLease(const std::string& aEntry);

  Slots Capacity() const { return mCapacity; }
  Slots Running() const { return mRunning; }
  /** Slots held by leases and running requests together. */
  Slots Committed() const;

private:
  struct LeaseHolder
  {
    Lease mLease;
    Slots mRunning = 0;
    Slots mWanted = 0;
  };

  void ExpireLeases();
  Slots CommittedTo(const LeaseHolder& aHolder) const;
  Slots FairShare() const;

  const global::IClock& mClock;
  Slots mCapacity = 0;
  Slots mRunning = 0;
  std::map<std::string, LeaseHolder> mHolders;
};

}
