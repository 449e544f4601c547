#include "gateway/endpointavailability.h"
#include "gateway/endpointbalancer.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever;
using namespace beryllever::gateway;

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
