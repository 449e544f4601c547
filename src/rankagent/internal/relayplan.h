#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace beryllever::rankagent {

/** Ranks that an order reaches through the agent of the first one. */
using RelayGroup = std::vector<uint32_t>;

/**
 * Divides ranks into groups in which the first one passes an order on to the
 * others. No group extends over two availability zones, and no agent sends the
 * order much more often than the square root of the number of ranks.
 */
std::vector<RelayGroup>
PlanRelays(const std::map<std::string, std::vector<uint32_t>>& aRanksByZone);

}
