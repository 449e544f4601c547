#include "rankagent/internal/relayplan.h"

#include <algorithm>
#include <cmath>

namespace beryllever::rankagent {

std::vector<RelayGroup>
PlanRelays(const std::map<std::string, std::vector<uint32_t>>& aRanksByZone)
{
  size_t count = 0;
  for (const auto& [zone, ranks] : aRanksByZone) {
    count += ranks.size();
  }
  const auto groupSize =
    static_cast<size_t>(std::ceil(std::sqrt(static_cast<double>(count))));
  std::vector<RelayGroup> groups;
  for (const auto& [zone, ranks] : aRanksByZone) {
    for (size_t i = 0; i < ranks.size(); i += groupSize) {
      const size_t end = std::min(i + groupSize, ranks.size());
      groups.emplace_back(ranks.begin() + static_cast<std::ptrdiff_t>(i),
                          ranks.begin() + static_cast<std::ptrdiff_t>(end));
    }
  }
  return groups;
}

}
