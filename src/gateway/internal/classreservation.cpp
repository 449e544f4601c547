#include "gateway/classreservation.h"

#include <algorithm>
#include <cmath>

namespace beryllever::gateway {

namespace {

using std::chrono::duration;
using std::chrono::milliseconds;

/** Time over which arrivals are counted. A gateway sees few requests a second;
 * a shorter time would make the estimate jump. */
constexpr milliseconds kArrivalWindow{ 3000 };
constexpr milliseconds kBucketLength{ 250 };
/** Time for which a load report may be in transit. */
constexpr milliseconds kReportTransit{ 500 };
/** Part of an endpoint's slots that may be reserved, so that less urgent
 * requests are always served too. */
constexpr double kMaxReservedFraction = 0.5;

}

ClassReservation::ClassReservation(const global::IClock& aClock)
  : mClock(aClock)
{
}

void
ClassReservation::RecordArrival(const std::string& aPool, int aPriority)
{
  std::deque<Bucket>& buckets = mArrivals[{ aPool, aPriority }];
  const auto now = mClock.Now();
  while (!buckets.empty() && buckets.front().mStart <= now - kArrivalWindow) {
    buckets.pop_front();
  }
  if (buckets.empty() || buckets.back().mStart <= now - kBucketLength) {
    buckets.push_back({ now });
  }
  ++buckets.back().mCount;
}

double
ClassReservation::ReservedPlaces(const std::string& aPool,
                                 int aPriority,
                                 int aSlots,
                                 const ReservationScope& aScope) const
{
  const auto since = mClock.Now() - kArrivalWindow;
  int arrivals = 0;
  for (auto it = mArrivals.lower_bound({ aPool, 0 });
       it != mArrivals.end() && it->first.first == aPool &&
       it->first.second < aPriority;
       ++it) {
    for (const Bucket& bucket : it->second) {
      arrivals += bucket.mStart > since ? bucket.mCount : 0;
    }
  }
  // The other gateways are taken to receive as many requests as this one.
  const double expected =
    arrivals * (duration<double>(kReportTransit) / kArrivalWindow) *
    static_cast<double>(aScope.mGateways) /
    static_cast<double>(std::max<size_t>(1, aScope.mEndpoints));
  // Arrivals are independent of each other: the variance equals the mean.
  return std::min(expected + std::sqrt(expected),
                  aSlots * kMaxReservedFraction);
}

}
