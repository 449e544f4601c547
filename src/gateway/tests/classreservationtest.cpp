#include "gateway/endpointbalancer.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever;
using namespace beryllever::gateway;

namespace {

constexpr int kGateways = 6;
constexpr int kEndpoints = 12;
constexpr int kSlots = 10;
constexpr int kUrgent = 0;
constexpr int kLeastUrgent = 2;
constexpr milliseconds kReportInterval{ 250 };
constexpr milliseconds kArrivalInterval{ 16 };
constexpr milliseconds kServiceTime{ 3000 };

struct Running
{
  global::TimePoint mEnd;
  EndpointBalancer* mGateway = nullptr;
  std::string mEndpoint;
};

}

// Several gateways, with reports that are one interval old.
TEST_GROUP(ClassReservation)
{
  global::ManualClock mClock;
  std::deque<EndpointBalancer> mBalancers;
  std::shared_ptr<published::Snapshot> mSnapshot = MakeSnapshot(true);
  std::map<std::string, int> mLoad;
  std::map<std::string, int> mMeasured;

  void setup() override
  {
    GatewayFleet fleet{ .mCount = kGateways };
    for (int i = 0; i < kGateways; ++i) {
      fleet.mNames.push_back("gateway-" + std::to_string(i));
    }
    for (int i = 0; i < kGateways; ++i) {
      fleet.mSelf = fleet.mNames.at(static_cast<size_t>(i));
      mBalancers.emplace_back(mClock, i).SetColdRateLimit({ fleet, 1, 0 });
    }
  }

  static std::shared_ptr<published::Snapshot> MakeSnapshot(bool aHasPriorities)
  {
    auto configuration = std::make_shared<published::Configuration>();
    configuration->mPools["engines"] = { .mName = "engines",
                                         .mEngine =
                                           published::EngineProfile{} };
    if (aHasPriorities) {
      configuration->mPrioritizedPools = { "engines" };
    }
    published::Snapshot::Endpoints endpoints;
    for (int i = 0; i < kEndpoints; ++i) {
      const std::string id = "e" + std::to_string(i);
      endpoints[id] = { .mId = id,
                        .mPool = "engines",
                        .mAddress = { "127.0.0.1", 1 },
                        .mAvailabilityZone = "a",
                        .mSlots = kSlots };
    }
    return std::make_shared<published::Snapshot>(
      configuration, endpoints, std::set<std::string>(), 1);
  }

  /** Delivers the loads of one interval ago. */
  void Report()
  {
    for (EndpointBalancer& balancer : mBalancers) {
      for (const auto& [id, endpoint] : mSnapshot->AllEndpoints()) {
        balancer.RecordReport(id, { mMeasured[id], true, 1, mClock.Now() });
      }
    }
    mMeasured = mLoad;
  }

  /** Endpoint that the request was sent to, if it has found a place. */
  std::optional<std::string> Place(EndpointBalancer & aGateway, int aPriority)
  {
    const Placement placement =
      aGateway.Choose(*mSnapshot, { "engines", "a", {}, aPriority });
    if (placement.mStatus != PlacementStatus::Chosen) {
      return std::nullopt;
    }
    aGateway.RecordSent(placement.mEndpoint->mId);
    ++mLoad[placement.mEndpoint->mId];
    return placement.mEndpoint->mId;
  }

  /** Each gateway gets a request of the priority, which ends at once. */
  void ServeOne(int aPriority)
  {
    for (EndpointBalancer& balancer : mBalancers) {
      balancer.RecordArrival("engines", aPriority);
      const Placement placement =
        balancer.Choose(*mSnapshot, { "engines", "a", {}, aPriority });
      CHECK(placement.mStatus == PlacementStatus::Chosen);
      balancer.RecordSent(placement.mEndpoint->mId);
      balancer.RecordOutcome(placement.mEndpoint->mId,
                             EndpointOutcome::Succeeded);
    }
  }

  /** Urgent requests arrive for a while: 24 in a second at all gateways. */
  void ServeUrgentTraffic()
  {
    for (int i = 0; i < 12; ++i) {
      Report();
      ServeOne(kUrgent);
      mClock.Advance(kReportInterval);
    }
    Report();
  }

  /** Plays a burst of the least urgent requests beside 27 urgent ones in a
   * second, and returns how many urgent ones find no place at once. */
  int CountUrgentDeniedInBurst()
  {
    ServeUrgentTraffic();
    std::deque<Running> running;
    int denied = 0;
    auto nextReport = mClock.Now();
    for (size_t i = 0; i < 1000; ++i) {
      const auto now = mClock.Now();
      for (; !running.empty() && running.front().mEnd <= now;
           running.pop_front()) {
        const Running& ended = running.front();
        ended.mGateway->RecordOutcome(ended.mEndpoint,
                                      EndpointOutcome::Succeeded);
        --mLoad[ended.mEndpoint];
      }
      if (now >= nextReport) {
        nextReport += kReportInterval;
        Report();
      }
      EndpointBalancer& gateway = mBalancers[i % kGateways];
      const int priority = i % 7 < 3 ? kUrgent : kLeastUrgent;
      gateway.RecordArrival("engines", priority);
      if (const auto endpoint = Place(gateway, priority)) {
        running.push_back({ now + kServiceTime, &gateway, *endpoint });
      } else {
        denied += priority == kUrgent ? 1 : 0;
      }
      mClock.Advance(kArrivalInterval);
    }
    return denied;
  }
};

// Guards against a burst of the least urgent class that takes the last places.
TEST(ClassReservation, UrgentRequestsFindAPlaceAtOnceInABurst)
{
  LONGS_EQUAL(0, CountUrgentDeniedInBurst());
}

// Guards against a burst that would leave room even without a reservation.
TEST(ClassReservation, UrgentRequestsAreDeniedInABurstWithoutPriorities)
{
  mSnapshot = MakeSnapshot(false);

  CHECK(CountUrgentDeniedInBurst() > 0);
}

// Guards against places that stay empty for requests that do not come.
TEST(ClassReservation, NothingIsReservedWithoutUrgentRequests)
{
  ServeUrgentTraffic();
  // The urgent requests stop.
  mClock.Advance(std::chrono::seconds(3));
  Report();
  ServeOne(kLeastUrgent);

  EndpointBalancer& gateway = mBalancers.front();
  int placed = 0;
  while (Place(gateway, kLeastUrgent)) {
    ++placed;
  }

  LONGS_EQUAL(14 * kEndpoints, placed);
}

// Guards against less urgent requests that wait forever.
TEST(ClassReservation, HalfOfTheSlotsStayForLessUrgentRequests)
{
  for (int i = 0; i < 10000; ++i) {
    mBalancers.front().RecordArrival("engines", kUrgent);
  }
  Report();

  int placed = 0;
  while (Place(mBalancers.front(), kLeastUrgent)) {
    ++placed;
  }

  LONGS_EQUAL(9 * kEndpoints, placed);
}

// Guards against a reservation for requests that are less urgent, or as urgent.
TEST(ClassReservation, ReservesOnlyForMoreUrgentRequests)
{
  ClassReservation reservation(mClock);
  for (int i = 0; i < 12; ++i) {
    reservation.RecordArrival("engines", 1);
    reservation.RecordArrival("others", 0);
  }

  // 12 arrivals in 3 s at each of 6 gateways: 1 in half a second at each of 12
  // endpoints, and one standard deviation.
  DOUBLES_EQUAL(
    2, reservation.ReservedPlaces("engines", 2, 10, { 6, 12 }), 1e-9);
  DOUBLES_EQUAL(
    0, reservation.ReservedPlaces("engines", 1, 10, { 6, 12 }), 1e-9);
  DOUBLES_EQUAL(
    0, reservation.ReservedPlaces("engines", 0, 10, { 6, 12 }), 1e-9);
}

// Guards against a change for pools whose requests have one priority.
TEST(ClassReservation, NothingIsReservedInAPoolWithoutPriorities)
{
  mSnapshot = MakeSnapshot(false);
  ServeUrgentTraffic();

  int placed = 0;
  while (Place(mBalancers.front(), kLeastUrgent)) {
    ++placed;
  }

  LONGS_EQUAL(14 * kEndpoints, placed);
}

// Guards against a reservation that depends on reports, which stop halfway.
TEST(ClassReservation, PlacesStayReservedWhenReportsStop)
{
  ServeUrgentTraffic();
  mClock.Advance(std::chrono::seconds(1));
  EndpointBalancer& gateway = mBalancers.front();

  while (Place(gateway, kLeastUrgent)) {
  }

  CHECK(Place(gateway, kUrgent).has_value());
}
