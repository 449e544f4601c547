#pragma once

#include "credits/creditstypes.h"

#include <map>

namespace beryllever::credits {

/** Result of the admission check of a request. */
enum class Admission
{
  Admitted,
  /** The endpoint runs as many requests as its capacity allows. */
  Full,
  /** All free slots are leased to other entries. */
  LeasedToOthers,
};

/**
 * Shares the slots of one endpoint between entries by leases. When a lease is
 * given, leased slots and running requests together do not exceed the capacity;
 * and no request is admitted above the current capacity, whatever is leased.
 */
class LeaseManager
{
public:
  explicit LeaseManager(const global::IClock& aClock);

  void SetCapacity(Slots aCapacity) { mCapacity = aCapacity; }

  /** Grants, renews or changes the lease of an entry. */
  Lease Renew(const std::string& aEntry, const Demand& aDemand);
  /** Checks whether a request of an entry may run; an admitted one must be
   * released. */
  Admission Admit(const std::string& aEntry);
  void Release(const std::string& aEntry);
  /** Ends the lease of an entry whose connection has been closed. */
  void RevokeLease(const std::string& aEntry);

  Slots Capacity() const { return mCapacity; }
  Slots Running() const { return mRunning; }
  /** Slots taken by leases and running requests; a request that runs on a
   * leased slot counts once. */
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
