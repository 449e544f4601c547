#include "rankagent/internal/relayplan.h"

#include <CppUTest/TestHarness.h>
#include <set>

using namespace beryllever::rankagent;

namespace {

std::map<std::string, std::vector<uint32_t>>
Zones(uint32_t aRanksPerZone)
{
  std::map<std::string, std::vector<uint32_t>> zones;
  for (uint32_t rank = 0; rank < 3 * aRanksPerZone; ++rank) {
    zones["zone-" + std::to_string(rank % 3)].push_back(rank);
  }
  return zones;
}

}

TEST_GROUP(RelayPlan){};

TEST(RelayPlan, ReachesEachRankOnceWithinItsZone)
{
  for (const uint32_t ranksPerZone : { 0, 1, 4, 21, 85 }) {
    std::set<uint32_t> reached;
    for (const RelayGroup& group : PlanRelays(Zones(ranksPerZone))) {
      for (const uint32_t rank : group) {
        CHECK(reached.insert(rank).second);
        LONGS_EQUAL(group.front() % 3, rank % 3);
      }
    }
    LONGS_EQUAL(3 * ranksPerZone, reached.size());
  }
}

TEST(RelayPlan, NoAgentOfALargeGroupSendsManyOrders)
{
  // 255 ranks: the square root is 16, and each zone may add a smaller group.
  const std::vector<RelayGroup> groups = PlanRelays(Zones(85));

  CHECK(groups.size() <= 16 + 3);
  for (const RelayGroup& group : groups) {
    CHECK(group.size() <= 16);
  }
}
