#pragma once

#include <cstddef>
#include <vector>

namespace beryllever::rebalancing {

using Expert = size_t;
using Rank = size_t;

/** Token load of each expert of a layer, in any unit. */
using Loads = std::vector<double>;

/** Assignment of the experts of one layer to ranks. All ranks have the same
 * number of slots. */
class Placement
{
public:
  /** aSlots lists the experts of each rank; the inner lists have equal length.
   */
  Placement(size_t aExperts, std::vector<std::vector<Expert>> aSlots);

  /** Fills the slots of the ranks in turn with the experts in turn, regardless
   * of load. A rank may get several replicas of an expert. */
  static Placement RoundRobin(size_t aExperts,
                              size_t aRanks,
                              size_t aSlotsPerRank);
  /** Replicates the most loaded experts, then places the replicas greedily in
   * descending order of load. A rank gets a second replica of an expert only if
   * every rank with a free slot holds the expert already. The ranks must have
   * at least one slot per expert in total. */
  static Placement Balanced(const Loads& aLoads,
                            size_t aRanks,
                            size_t aSlotsPerRank);

  size_t Ranks() const { return mSlots.size(); }
  const std::vector<std::vector<Expert>>& Slots() const { return mSlots; }
  size_t Replicas(Expert aExpert) const { return mReplicas[aExpert]; }
  bool Holds(Rank aRank, Expert aExpert) const;

  /** Returns the load of each rank. An expert's load is split evenly among its
   * replicas. */
  std::vector<double> RankLoads(const Loads& aLoads) const;
  /** Returns the ratio of the largest to the mean rank load, at least 1. A
   * lock-step group waits for its most loaded rank. */
  double Skew(const Loads& aLoads) const;

  /** Replaces the expert in a slot of a rank. */
  void Replace(Rank aRank, size_t aSlot, Expert aExpert);
  /** Returns the number of replicas that a rank holds here but not in the other
   * placement, summed over the ranks. */
  size_t MovesFrom(const Placement& aOther) const;

private:
  std::vector<std::vector<Expert>> mSlots;
  std::vector<size_t> mReplicas;
};

}
