#pragma once

#include "published/publishedtypes.h"
#include "rankagent/internal/demandtracker.h"

namespace beryllever::rankagent {

/** A planned expert map and its effect. Loads are sums over all layers, in
 * expert selections per window, weighted by the ranks' slowdowns. */
struct MapPlan
{
  ExpertMap mMap;
  /** Load of the most loaded rank with the current map. */
  double mLoadBefore = 0;
  /** Load of the most loaded rank with the planned map. */
  double mLoadAfter = 0;
  /** Load of each rank if all ranks were equally loaded. */
  double mEvenLoad = 0;
  /** Fraction of the time of passes that the change saves while demand is
   * expected to stay. */
  double mSaving = 0;
  /** Number of experts that the busiest rank has to copy. */
  size_t mCopies = 0;
  /** Time that the busiest rank needs to copy them. */
  global::Duration mCopyTime{};

  double ImbalanceBefore() const { return Ratio(mLoadBefore); }
  double ImbalanceAfter() const { return Ratio(mLoadAfter); }
  /** Whether the map saves enough to be worth a change. */
  bool IsWorthwhile() const;

private:
  double Ratio(double aLoad) const
  {
    return mEvenLoad > 0 ? aLoad / mEvenLoad : 1;
  }
};

/** Plans the next expert map of a group from the demand for its experts, which
 * is expected to stay as it is for aStay. */
MapPlan
PlanMap(const published::EngineProfile& aEngine,
        const ExpertMap& aCurrent,
        const DemandTracker& aDemand,
        const std::vector<double>& aSlowdowns,
        global::Duration aStay);

}
