#include "gateway/endpointbalancer.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever;
using namespace beryllever::gateway;

namespace {

constexpr int kGateways = 14;
constexpr int kEndpoints = 72;
constexpr int kSlots = 10;
/** Requests that one gateway puts at an endpoint at most. */
constexpr int kNormalLimit = 14;

}

TEST_GROUP(StartShare)
{
  global::ManualClock mClock;
  std::deque<EndpointBalancer> mBalancers;
  std::map<std::string, int> mLoad;
  int mEndpoints = kEndpoints;
  bool mHasEngine = true;

  void AddGateways(int aCount)
  {
    GatewayFleet fleet{ .mCount = aCount };
    for (int i = 0; i < aCount; ++i) {
      fleet.mNames.push_back("gateway-" + std::to_string(i));
    }
    for (int i = 0; i < aCount; ++i) {
      fleet.mSelf = fleet.mNames.at(static_cast<size_t>(i));
      mBalancers.emplace_back(mClock, i).SetColdRateLimit({ fleet, 1, 0 });
    }
  }

  void Report(int aEndpoints)
  {
    for (EndpointBalancer& balancer : mBalancers) {
      for (int i = 0; i < aEndpoints; ++i) {
        const std::string id = "e" + std::to_string(i);
        balancer.RecordReport(id, { mLoad[id], true, 1, mClock.Now() });
      }
    }
  }

  /** Fills the gateway's places; returns how many requests found one. */
  int Fill(EndpointBalancer & aGateway)
  {
    auto configuration = std::make_shared<published::Configuration>();
    configuration->mPools["engines"] = { .mName = "engines" };
    if (mHasEngine) {
      configuration->mPools["engines"].mEngine = published::EngineProfile{};
    }
    published::Snapshot::Endpoints endpoints;
    for (int i = 0; i < mEndpoints; ++i) {
      const std::string id = "e" + std::to_string(i);
      endpoints[id] = { .mId = id,
                        .mPool = "engines",
                        .mAddress = { "127.0.0.1", 1 },
                        .mAvailabilityZone = "a",
                        .mSlots = kSlots };
    }
    const published::Snapshot snapshot(configuration, endpoints, {}, 1);
    for (int sent = 0;; ++sent) {
      const Placement placement =
        aGateway.Choose(snapshot, { "engines", "a", {} });
      if (placement.mStatus != PlacementStatus::Chosen) {
        return sent;
      }
      aGateway.RecordSent(placement.mEndpoint->mId);
      ++mLoad[placement.mEndpoint->mId];
    }
  }

  void CompleteAll(EndpointBalancer & aGateway)
  {
    for (auto& [id, load] : mLoad) {
      for (; load > 0; --load) {
        aGateway.RecordOutcome(id, EndpointOutcome::Succeeded);
      }
    }
  }

  int FillAll()
  {
    int sent = 0;
    for (EndpointBalancer& balancer : mBalancers) {
      sent += Fill(balancer);
    }
    return sent;
  }
};

// Guards against gateways that fill the same places after a power loss.
TEST(StartShare, GatewaysWithoutReportsTogetherTakeThePlacesOfThePool)
{
  AddGateways(kGateways);

  LONGS_EQUAL(kEndpoints * kSlots, FillAll());

  for (const auto& [id, load] : mLoad) {
    LONGS_EQUAL(kSlots, load);
  }
}

// Guards against a share that no gateway has, in a pool with few places.
TEST(StartShare, AGatewayHasAFewPlacesInASmallPool)
{
  mEndpoints = 1;
  AddGateways(200);

  for (EndpointBalancer& balancer : mBalancers) {
    LONGS_EQUAL(3, Fill(balancer));
  }
}

// Guards against a limit on a gateway that sees the load.
TEST(StartShare, AGatewayWithReportsIsNotLimited)
{
  AddGateways(kGateways);
  Report(kEndpoints);

  LONGS_EQUAL(kEndpoints * kNormalLimit, Fill(mBalancers.front()));
}

// Guards against a share that does not grow while reports come in.
TEST(StartShare, TheLimitGrowsWithTheReports)
{
  AddGateways(kGateways);
  EndpointBalancer& gateway = mBalancers.front();
  const int share = Fill(gateway);

  Report(kEndpoints / 4);
  const int quarter = share + Fill(gateway);
  Report(kEndpoints * 5 / 8);
  const int most = quarter + Fill(gateway);

  CHECK(share < quarter);
  CHECK(quarter < most);
  CHECK(most < kEndpoints * kNormalLimit);
}

// Guards against gateways that overfill endpoints once reports stop halfway.
TEST(StartShare, TheShareAppliesAgainWhenReportsStop)
{
  AddGateways(kGateways);
  EndpointBalancer& gateway = mBalancers.front();
  Report(kEndpoints);
  LONGS_EQUAL(kEndpoints * kNormalLimit, Fill(gateway));
  for (int i = 0; i < kEndpoints * kNormalLimit; ++i) {
    gateway.RecordOutcome("e" + std::to_string(i % kEndpoints),
                          EndpointOutcome::Succeeded);
  }

  mClock.Advance(std::chrono::seconds(3));

  const int share = Fill(gateway);
  CHECK(share > 0);
  CHECK(share <= kEndpoints);
}

// Guards against a lasting limit in a pool whose agents do not run.
TEST(StartShare, TheLimitEndsIfNoAgentEverReports)
{
  AddGateways(kGateways);
  Fill(mBalancers.front());

  mClock.Advance(std::chrono::seconds(30));
  Fill(mBalancers.front());

  LONGS_EQUAL(kNormalLimit, mBalancers.front().Outstanding("e0"));
}

// Guards against a change for pools without an engine profile.
TEST(StartShare, APoolWithoutEngineIsNotLimited)
{
  mHasEngine = false;
  AddGateways(kGateways);

  LONGS_EQUAL(kEndpoints * kSlots * 2, Fill(mBalancers.front()));
}

// Guards against a pool that never starts again because most of its endpoints
// have no agent.
TEST(StartShare, TheShareAppliesAgainThoughFewEndpointsHaveReported)
{
  AddGateways(kGateways);
  EndpointBalancer& gateway = mBalancers.front();
  const int share = Fill(gateway);
  CompleteAll(gateway);
  mClock.Advance(std::chrono::seconds(31));
  Report(kEndpoints / 4);
  CHECK(Fill(gateway) > share);
  CompleteAll(gateway);

  mClock.Advance(std::chrono::seconds(4));

  LONGS_EQUAL(share, Fill(gateway));
}
