#include "gateway/endpointavailability.h"
#include "gateway/endpointbalancer.h"

#include <CppUTest/TestHarness.h>
#include <limits>

using namespace beryllever;
using namespace beryllever::gateway;
using std::chrono::milliseconds;
using seconds = std::chrono::duration<double>;

namespace {

published::Endpoint
EndpointBorn(int64_t aBorn, const std::string& aId = "e")
{
  return { .mId = aId, .mPool = "pool", .mSlots = 4, .mBorn = aBorn };
}

published::Snapshot
SnapshotOf(const std::vector<published::Endpoint>& aEndpoints)
{
  auto configuration = std::make_shared<published::Configuration>();
  configuration->mPools["pool"] = { .mName = "pool" };
  published::Snapshot::Endpoints endpoints;
  for (const auto& endpoint : aEndpoints) {
    endpoints[endpoint.mId] = endpoint;
  }
  return { configuration, endpoints, {}, 1 };
}

}

TEST_GROUP(EndpointAvailability)
{
  global::ManualClock mClock;
  EndpointAvailability mAvailability{ mClock };
};

TEST(EndpointAvailability, LeavingHoldsForTheIncarnationAtAnyTime)
{
  CHECK(mAvailability.RecordLeaving(EndpointBorn(5)));
  CHECK(!mAvailability.RecordLeaving(EndpointBorn(5)));
  mClock.Advance(std::chrono::hours(24));
  mAvailability.RemoveMissing(SnapshotOf({}));

  CHECK(mAvailability.IsLeaving(EndpointBorn(5)));
  CHECK(mAvailability.IsLeaving(EndpointBorn(4)));
  CHECK(!mAvailability.IsLeaving(EndpointBorn(6)));
  CHECK(!mAvailability.IsLeaving(EndpointBorn(5, "other")));
}

TEST(EndpointAvailability, ALateStatementOfAnEarlierIncarnationChangesNothing)
{
  CHECK(mAvailability.RecordLeaving(EndpointBorn(5)));
  CHECK(!mAvailability.RecordLeaving(EndpointBorn(4)));
  CHECK(mAvailability.IsLeaving(EndpointBorn(5)));

  CHECK(mAvailability.RecordLeaving(EndpointBorn(6)));
  CHECK(mAvailability.IsLeaving(EndpointBorn(6)));
}

TEST(EndpointAvailability, UnlistedEndpointsAreForgottenOldestFirst)
{
  const auto listed = EndpointBorn(1, "listed");
  mAvailability.RecordLeaving(listed);
  for (int i = 0; i < 5000; ++i) {
    mClock.Advance(std::chrono::milliseconds(1));
    mAvailability.RecordLeaving(EndpointBorn(1, std::to_string(i)));
  }
  mAvailability.RemoveMissing(SnapshotOf({ listed }));

  CHECK(mAvailability.IsLeaving(listed));
  CHECK(!mAvailability.IsLeaving(EndpointBorn(1, "0")));
  CHECK(mAvailability.IsLeaving(EndpointBorn(1, "4999")));
}

TEST(EndpointAvailability, ALeavingEndpointIsNotChosen)
{
  EndpointBalancer balancer(mClock, 1);
  const auto leaving = EndpointBorn(1, "leaving");
  balancer.Availability().RecordLeaving(leaving);
  const auto both = SnapshotOf({ leaving, EndpointBorn(1, "stays") });
  for (int i = 0; i < 20; ++i) {
    const Placement placement = balancer.Choose(both, { "pool", "", {} });
    STRCMP_EQUAL("stays", placement.mEndpoint->mId.c_str());
  }

  CHECK(PlacementStatus::NoneUsable ==
        balancer.Choose(SnapshotOf({ leaving }), { "pool", "", {} }).mStatus);
}

TEST(EndpointAvailability, APauseEndsAtItsDeadline)
{
  const RecordedPause pause =
    mAvailability.RecordPause(EndpointBorn(5), seconds(1.5));
  CHECK(pause.mIsNew && !pause.mIsAbsurd);
  mClock.Advance(milliseconds(1499));
  CHECK(mAvailability.PausedUntil(EndpointBorn(5)).has_value());
  CHECK(mAvailability.PausedUntil(EndpointBorn(4)).has_value());
  CHECK(!mAvailability.PausedUntil(EndpointBorn(6)));
  CHECK(!mAvailability.PausedUntil(EndpointBorn(5, "other")));
  mClock.Advance(milliseconds(1));
  CHECK(!mAvailability.PausedUntil(EndpointBorn(5)));
}

TEST(EndpointAvailability, AShorterPauseStatedLaterDoesNotCutALongerOne)
{
  mAvailability.RecordPause(EndpointBorn(5), seconds(2));
  CHECK(!mAvailability.RecordPause(EndpointBorn(5), seconds(0.1)).mIsNew);
  mAvailability.RecordPause(EndpointBorn(5), seconds(0));
  mAvailability.RecordPause(EndpointBorn(4), seconds(30));
  mClock.Advance(milliseconds(1900));
  mAvailability.RemoveMissing(SnapshotOf({}));
  CHECK(mAvailability.PausedUntil(EndpointBorn(5)).has_value());
  mClock.Advance(milliseconds(200));
  CHECK(!mAvailability.PausedUntil(EndpointBorn(5)));
}

TEST(EndpointAvailability, AnAbsurdPauseIsBounded)
{
  constexpr double kInfinity = std::numeric_limits<double>::infinity();
  constexpr double kNan = std::numeric_limits<double>::quiet_NaN();
  for (const double none : { -1.0, -kInfinity, kNan }) {
    CHECK(mAvailability.RecordPause(EndpointBorn(5), seconds(none)).mIsAbsurd);
    CHECK(!mAvailability.PausedUntil(EndpointBorn(5)));
  }
  CHECK(!mAvailability.RecordPause(EndpointBorn(5), seconds(0)).mIsAbsurd);
  for (const double endless : { 61.0, 1e300, kInfinity }) {
    CHECK(
      mAvailability.RecordPause(EndpointBorn(5), seconds(endless)).mIsAbsurd);
    CHECK(mAvailability.PausedUntil(EndpointBorn(5)).has_value());
  }
  mClock.Advance(std::chrono::seconds(60));
  CHECK(!mAvailability.PausedUntil(EndpointBorn(5)));
}

TEST(EndpointAvailability, APoolPausesUntilItsFirstEndpointIsBack)
{
  const auto first = EndpointBorn(1, "first");
  const auto second = EndpointBorn(1, "second");
  const auto leaving = EndpointBorn(1, "leaving");
  const auto snapshot = SnapshotOf({ first, second, leaving });
  mAvailability.RecordLeaving(leaving);
  CHECK(!mAvailability.PoolPausedUntil(snapshot, "pool"));
  mAvailability.RecordPause(first, seconds(3));
  CHECK(!mAvailability.PoolPausedUntil(snapshot, "pool"));
  mAvailability.RecordPause(second, seconds(2));

  CHECK(mClock.Now() + std::chrono::seconds(2) ==
        *mAvailability.PoolPausedUntil(snapshot, "pool"));
  CHECK(!mAvailability.PoolPausedUntil(snapshot, "empty"));
}

TEST(EndpointAvailability, APausingEndpointIsNotChosen)
{
  EndpointBalancer balancer(mClock, 1);
  const auto pausing = EndpointBorn(1, "pausing");
  const auto full = EndpointBorn(1, "full");
  balancer.Availability().RecordPause(pausing, seconds(2));
  const auto both = SnapshotOf({ pausing, full });
  const PlacementRequest request{ "pool", "", {} };
  // A plain endpoint of 4 slots takes 8 requests.
  for (int i = 0; i < 8; ++i) {
    const Placement placement = balancer.Choose(both, request);
    STRCMP_EQUAL("full", placement.mEndpoint->mId.c_str());
    balancer.RecordSent("full");
  }

  CHECK(PlacementStatus::AtCapacity == balancer.Choose(both, request).mStatus);
  CHECK(PlacementStatus::Paused ==
        balancer.Choose(both, { "pool", "", { "full" } }).mStatus);
}
