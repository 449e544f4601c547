#pragma once

#include "rebalancing/placement.h"

namespace beryllever::rebalancing {

/** Experts that each rank holds in one layer; ranks may hold unequal numbers.
 */
using RankLists = std::vector<std::vector<Expert>>;

/** What one change of a layer's placement may bring. */
struct LayerLimits
{
  /** Experts that a rank may hold. */
  size_t mPlacesPerRank = 0;
  /** Experts that a rank may hold in the new placement and not in the old. */
  size_t mNewPerRank = 0;
  /** Share of the largest load that each copied expert must save. */
  double mMinGain = 0.002;
};

/** How many times longer than usual each rank takes; empty: none does. */
using Paces = std::vector<double>;

/** Time that the slowest rank takes in units of load, with an expert's load
 * shared evenly by the ranks that hold it. */
double
LargestLoad(const RankLists& aLists,
            const Loads& aLoads,
            const Paces& aPaces = {});

/**
 * Lowers the load of the most loaded rank of one layer by replicas, moves and
 * swaps, within what one change may bring.
 */
class LayerPlanner
{
public:
  explicit LayerPlanner(const LayerLimits& aLimits);

  RankLists Improve(const RankLists& aCurrent,
                    const Loads& aLoads,
                    const Paces& aPaces = {}) const;

private:
  const LayerLimits mLimits;
};

}
