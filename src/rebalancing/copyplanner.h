#pragma once

#include "rebalancing/layerplanner.h"

#include <chrono>

namespace beryllever::rebalancing {

using Seconds = std::chrono::duration<double>;

/** What a change of a group's map costs, and how long it serves. */
struct ChangeCost
{
  /** Time that a rank takes to copy an expert of one layer. A rank copies one
   * expert at a time; ranks copy side by side. */
  Seconds mCopyTime{ 0 };
  /** Time from a plan to the first pass with the new map, beside the copies. */
  Seconds mChangeTime{ 0 };
  /** Fraction by which passes take longer while a rank copies. */
  double mCopySlowdown = 0;
  /** Time for which demand is expected to stay as it is. */
  Seconds mHorizon{ 0 };
};

/** Next map of a group. Loads are those of the most loaded ranks, summed over
 * the layers. */
struct CopyPlan
{
  std::vector<ExpertsByRank> mLayers;
  double mLoadBefore = 0;
  double mLoadAfter = 0;
  /** Number of experts that the busiest rank copies. */
  size_t mCopies = 0;
  /** Fraction of the time of all passes within the horizon that this change and
   * those that may follow it save. */
  double mSaving = 0;
};

/**
 * Plans the next map of a group whose ranks take time to copy experts. A change
 * serves only once its busiest rank has copied everything, so the planner
 * weighs changes with few copies a rank, which serve soon and are followed by
 * others, against larger ones.
 */
class CopyPlanner
{
public:
  CopyPlanner(const LayerLimits& aLimits, const ChangeCost& aCost);

  CopyPlan Improve(const std::vector<ExpertsByRank>& aCurrent,
                   const std::vector<Loads>& aLoads,
                   const Slowdowns& aSlowdowns = {}) const;

  /** Returns the best map with a bounded number of copies for each rank. */
  CopyPlan ImproveWithin(size_t aCopiesPerRank,
                         const std::vector<ExpertsByRank>& aCurrent,
                         const std::vector<Loads>& aLoads,
                         const Slowdowns& aSlowdowns) const;

private:
  /** Returns the fraction of the time within the horizon that is saved if the
   * plan and those with more copies are carried out in turn, each change with
   * as many copies as the plan. aPlans is sorted by copies. */
  double Saving(const std::vector<CopyPlan>& aPlans, size_t aIndex) const;
  Seconds TimeOf(size_t aCopies) const;

  const LayerLimits mLimits;
  const ChangeCost mCost;
};

}
