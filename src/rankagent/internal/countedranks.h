#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace beryllever::rankagent {

/** What the choice of the ranks whose counts are read depends on. */
struct RankActivity
{
  uint32_t mRank = 0;
  std::string mAvailabilityZone;
  /** Running and queued requests. */
  int mRequests = 0;
};

/**
 * Orders ranks by how well their selection counts show the demand of the group:
 * first those of availability zones that have requests, since the counts of
 * other ranks stand still, then those of aOwnZone, whose counts cost no traffic
 * between zones.
 */
std::vector<uint32_t>
OrderForCounting(const std::vector<RankActivity>& aRanks,
                 const std::string& aOwnZone);

}
