#include "mesh/gossipplan.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <map>
#include <set>

using namespace beryllever;
using namespace beryllever::mesh;

namespace {

Member
Gateway(const std::string& aZone, int aNumber)
{
  return { .mVm = "edge-" + aZone + "-" + std::to_string(aNumber),
           .mRole = kGatewayRole,
           .mAvailabilityZone = aZone };
}

Member
Agent(const std::string& aZone, int aNumber)
{
  return { .mVm = "side-" + aZone + "-" + std::to_string(aNumber),
           .mRole = kRankAgentRole,
           .mAvailabilityZone = aZone };
}

std::vector<Member>
Gateways(int aEach, const std::vector<std::string>& aZones)
{
  std::vector<Member> gateways;
  for (const std::string& zone : aZones) {
    for (int i = 0; i < aEach; ++i) {
      gateways.push_back(Gateway(zone, i));
    }
  }
  return gateways;
}

std::vector<Member>
InZone(const std::vector<Member>& aMembers, const std::string& aZone)
{
  std::vector<Member> members;
  std::copy_if(
    aMembers.begin(),
    aMembers.end(),
    std::back_inserter(members),
    [&](const Member& aMember) { return aMember.mAvailabilityZone == aZone; });
  return members;
}

}

TEST_GROUP(GossipPlan){};

TEST(GossipPlan, TheNumberOfReportTargetsIsIndependentOfTheNumberOfGateways)
{
  const auto few =
    ReportTargets(Agent("a", 1), Gateways(15, { "a", "b", "c" }));
  const auto many =
    ReportTargets(Agent("a", 1), Gateways(130, { "a", "b", "c" }));

  LONGS_EQUAL(5, few.size());
  LONGS_EQUAL(5, many.size());
}

TEST(GossipPlan, EveryGatewayLearnsOfEveryAgentDirectlyOrByRelay)
{
  const auto gateways = Gateways(9, { "a", "b", "c" });
  for (int number = 0; number < 20; ++number) {
    const Member agent = Agent("b", number);
    std::set<std::string> targets;
    for (const Member& target : ReportTargets(agent, gateways)) {
      targets.insert(target.mVm);
    }
    for (const std::string zone : { "a", "b", "c" }) {
      const auto zoneGateways = InZone(gateways, zone);
      CHECK(std::any_of(
        zoneGateways.begin(), zoneGateways.end(), [&](const Member& aGateway) {
          return targets.contains(aGateway.mVm);
        }));
      for (const Member& gateway : zoneGateways) {
        CHECK(targets.contains(gateway.mVm) !=
              NeedsRelay(agent, gateway, zoneGateways));
      }
    }
  }
}

TEST(GossipPlan, AgentsAreDistributedOverTheGatewaysOfAZone)
{
  const auto gateways = Gateways(10, { "a" });
  std::map<std::string, int> reports;
  for (int number = 0; number < 200; ++number) {
    for (const Member& target : ReportTargets(Agent("b", number), gateways)) {
      ++reports[target.mVm];
    }
  }

  LONGS_EQUAL(10, reports.size());
  for (const auto& [vm, n] : reports) {
    CHECK(n < 40);
  }
}

TEST(GossipPlan, ThreeGatewaysOfEachZoneReadTheStore)
{
  auto gateways = Gateways(15, { "a", "b" });
  int readers = 0;
  for (const Member& self : gateways) {
    readers += IsStoreReader(self, gateways) ? 1 : 0;
  }
  LONGS_EQUAL(6, readers);
}

TEST(GossipPlan, AnotherGatewayReadsInPlaceOfOneThatIsRefused)
{
  auto gateways = Gateways(15, { "a" });
  gateways[0].mStoreAccess = StoreAccess::Failing;
  std::set<std::string> readers;
  for (const Member& self : gateways) {
    if (IsStoreReader(self, gateways)) {
      readers.insert(self.mVm);
    }
  }

  // The refused gateway keeps trying, and three others read.
  LONGS_EQUAL(4, readers.size());
  CHECK(readers.contains(gateways[0].mVm));
}

TEST(GossipPlan, AllGatewaysReadIfAllAreRefused)
{
  auto gateways = Gateways(15, { "a" });
  for (Member& gateway : gateways) {
    gateway.mStoreAccess = StoreAccess::Failing;
  }
  for (const Member& self : gateways) {
    CHECK(IsStoreReader(self, gateways));
  }
}

TEST(GossipPlan, TellsTheGatewaysOfTheZoneThatDoNotReadOfANewRevision)
{
  auto gateways = Gateways(4, { "a" });
  gateways[1].mStoreAccess = StoreAccess::Reading;
  gateways[2].mStoreAccess = StoreAccess::Failing;
  gateways[3].mPublishedPosition = { 0, 7 };
  const Member self{ .mVm = "self",
                     .mAvailabilityZone = "a",
                     .mPublishedPosition = { 0, 7 },
                     .mStoreAccess = StoreAccess::Reading };

  const auto targets = RevisionTargets(self, gateways);

  LONGS_EQUAL(2, targets.size());
  STRCMP_EQUAL(gateways[0].mVm.c_str(), targets[0].mVm.c_str());
  STRCMP_EQUAL(gateways[2].mVm.c_str(), targets[1].mVm.c_str());
}

TEST(GossipPlan, AZoneThatTheStoreTurnsAwayIsToldOfANewRevisionByOtherZones)
{
  // Arrange: the gateways of zone c are turned away, the others read.
  auto gateways = Gateways(15, { "a", "b", "c" });
  for (Member& gateway : gateways) {
    gateway.mStoreAccess = gateway.mAvailabilityZone == "c"
                             ? StoreAccess::Failing
                             : StoreAccess::Reading;
  }

  // Act: each reader has a new revision.
  std::map<std::string, int> calls;
  for (Member self : gateways) {
    if (self.mStoreAccess == StoreAccess::Reading) {
      self.mPublishedPosition = { 0, 1 };
      for (const Member& target : RevisionTargets(self, gateways)) {
        ++calls[target.mVm];
      }
    }
  }

  // Assert: two readers tell each gateway of the zone.
  LONGS_EQUAL(15, calls.size());
  for (const auto& [vm, n] : calls) {
    LONGS_EQUAL(2, n);
  }
}

/** Guards against a gateway of an older era that is not told of a lower
 * revision of the new one. */
TEST(GossipPlan, TellsAGatewayOfAnOlderEra)
{
  const Member self{ .mVm = "g0",
                     .mRole = kGatewayRole,
                     .mAvailabilityZone = "a",
                     .mPublishedPosition = { 1, 40 },
                     .mStoreAccess = StoreAccess::Reading };
  const Member gateway{ .mVm = "g1",
                        .mRole = kGatewayRole,
                        .mAvailabilityZone = "a",
                        .mPublishedPosition = { 0, 90 } };

  LONGS_EQUAL(1, RevisionTargets(self, { gateway }).size());
}
