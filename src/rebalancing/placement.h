#pragma once

#include <cstddef>
#include <vector>

namespace beryllever::rebalancing {

using Expert = size_t;
using Rank = size_t;

/** Tokens that each expert of a layer gets, in any unit. */
using Loads = std::vector<double>;

/** Where the experts of one layer stand. Each rank has the same number of
 * slots. */
class Placement
{
public:
  /** Experts by rank; the inner lists are of equal length. */
  Placement(size_t aExperts, std::vector<std::vector<Expert>> aSlots);

  /** Experts in turn over the ranks, whatever their load. */
  static Placement RoundRobin(size_t aExperts,
                              size_t aRanks,
                              size_t aSlotsPerRank);
  /** Replicates the hottest experts and places the largest shares first. */
  static Placement Balanced(const Loads& aLoads,
                            size_t aRanks,
                            size_t aSlotsPerRank);

  size_t Ranks() const { return mSlots.size(); }
  const std::vector<std::vector<Expert>>& Slots() const { return mSlots; }
  size_t Replicas(Expert aExpert) const { return mReplicas[aExpert]; }
  bool Holds(Rank aRank, Expert aExpert) const;

  /** Load of each rank, with an expert's load shared evenly by its replicas. */
  std::vector<double> RankLoads(const Loads& aLoads) const;
  /** Largest over mean rank load; at least 1. A lock-step group waits for the
   * largest. */
  double Skew(const Loads& aLoads) const;

  /** Puts an expert into a rank's slot in place of another. */
  void Replace(Rank aRank, size_t aSlot, Expert aExpert);
  /** Slots whose expert differs from another placement's at the same rank. */
  size_t MovesFrom(const Placement& aOther) const;

private:
  std::vector<std::vector<Expert>> mSlots;
  std::vector<size_t> mReplicas;
};

}
