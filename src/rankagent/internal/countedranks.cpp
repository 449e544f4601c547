#include "rankagent/internal/countedranks.h"

#include <algorithm>
#include <map>

namespace beryllever::rankagent {

std::vector<uint32_t>
OrderForCounting(const std::vector<RankActivity>& aRanks,
                 const std::string& aOwnZone)
{
  std::map<std::string, int> requests;
  for (const RankActivity& rank : aRanks) {
    requests[rank.mAvailabilityZone] += rank.mRequests;
  }
  const auto cost = [&](const RankActivity& aRank) {
    return std::pair(requests[aRank.mAvailabilityZone] == 0,
                     aRank.mAvailabilityZone != aOwnZone);
  };
  std::vector<RankActivity> ordered = aRanks;
  std::stable_sort(ordered.begin(),
                   ordered.end(),
                   [&](const RankActivity& aLeft, const RankActivity& aRight) {
                     return cost(aLeft) < cost(aRight);
                   });
  std::vector<uint32_t> ranks;
  for (const RankActivity& rank : ordered) {
    ranks.push_back(rank.mRank);
  }
  return ranks;
}

}
