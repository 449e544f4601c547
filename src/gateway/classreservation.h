#pragma once

#include "framework/global/iclock.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace beryllever::gateway {

/** What the endpoints of a pool have in common for a reservation. */
struct ReservationScope
{
  /** Gateways that are known, including this one. */
  size_t mGateways = 1;
  size_t mEndpoints = 1;
};

/**
 * Computes how many places at an endpoint stay free for requests that are more
 * urgent. Load reports are in transit for up to half a second; without the
 * reservation, less urgent requests take the places that urgent ones need
 * meanwhile.
 */
class ClassReservation
{
public:
  explicit ClassReservation(const global::IClock& aClock);

  /** Records a request that has arrived at this gateway; priority 0 is the most
   * urgent. */
  void RecordArrival(const std::string& aPool, int aPriority);
  /** Places to leave free at an endpoint with this many slots. */
  double ReservedPlaces(const std::string& aPool,
                        int aPriority,
                        int aSlots,
                        const ReservationScope& aScope) const;

private:
  struct Bucket
  {
    global::TimePoint mStart{};
    int mCount = 0;
  };

  const global::IClock& mClock;
  /** Recent arrivals by pool and priority. */
  std::map<std::pair<std::string, int>, std::deque<Bucket>> mArrivals;
};

}
