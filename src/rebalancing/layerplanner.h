#pragma once

#include "rebalancing/placement.h"

namespace beryllever::rebalancing {

/** Experts of one layer, by the rank that holds them. Ranks may hold different
 * numbers of experts. */
using ExpertsByRank = std::vector<std::vector<Expert>>;

/** Limits on a single change of a layer's placement. */
struct LayerLimits
{
  /** Most experts that a rank can hold. */
  size_t mSlotsPerRank = 0;
  /** Most experts that a change may add to a rank. */
  size_t mMaxNewPerRank = 0;
  /** Fraction of the largest rank load that each copied expert must save. */
  double mMinGainPerCopy = 0.002;
};

/** Slowdown factor of each rank; 1 is normal speed. Empty if all ranks run at
 * normal speed. */
using Slowdowns = std::vector<double>;

/** Returns the largest rank load, weighted by slowdown: the time that the
 * slowest rank takes, in units of load. An expert's load is split evenly among
 * the ranks that hold it. */
double
MaxRankLoad(const ExpertsByRank& aExperts,
            const Loads& aLoads,
            const Slowdowns& aSlowdowns = {});

/**
 * Reduces the load of the most loaded rank of one layer by replicating, moving
 * and swapping experts within the limits of a single change.
 */
class LayerPlanner
{
public:
  explicit LayerPlanner(const LayerLimits& aLimits);

  ExpertsByRank Improve(const ExpertsByRank& aCurrent,
                        const Loads& aLoads,
                        const Slowdowns& aSlowdowns = {}) const;

private:
  const LayerLimits mLimits;
};

}
