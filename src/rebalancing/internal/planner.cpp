#include "rebalancing/planner.h"

#include <algorithm>
#include <numeric>

namespace beryllever::rebalancing {

namespace {

/** Coolest ranks that are tried as targets of a move. */
constexpr size_t kTargets = 8;

std::vector<Rank>
ByLoad(const std::vector<double>& aLoads)
{
  std::vector<Rank> ranks(aLoads.size());
  std::iota(ranks.begin(), ranks.end(), 0);
  std::sort(ranks.begin(), ranks.end(), [&](Rank aLeft, Rank aRight) {
    return aLoads[aLeft] < aLoads[aRight];
  });
  return ranks;
}

}

Planner::Planner(const PlannerLimits& aLimits)
  : mLimits(aLimits)
{
}

Plan
Planner::Improve(const Placement& aCurrent, const Loads& aLoads) const
{
  Plan plan{ aCurrent };
  while (plan.mMoves < mLimits.mMaxMoves) {
    const double before = plan.mPlacement.Skew(aLoads);
    Move best{ .mSkew = before };
    if (!FindBest(plan.mPlacement, aLoads, best) ||
        !IsWorth(before, best.mSkew)) {
      break;
    }
    plan.mPlacement.Replace(best.mRank, best.mSlot, best.mExpert);
    ++plan.mMoves;
    plan.mBytes += mLimits.mExpertBytes;
  }
  return plan;
}

bool
Planner::FindBest(const Placement& aPlacement,
                  const Loads& aLoads,
                  Move& aBest) const
{
  const std::vector<Rank> ranks = ByLoad(aPlacement.RankLoads(aLoads));
  const Rank hottest = ranks.back();
  bool isFound = false;
  for (size_t i = 0; i < std::min(kTargets, ranks.size() - 1); ++i) {
    const Rank target = ranks[i];
    for (const Expert expert : aPlacement.Slots()[hottest]) {
      if (aPlacement.Holds(target, expert)) {
        continue;
      }
      for (size_t slot = 0; slot < aPlacement.Slots()[target].size(); ++slot) {
        // The last replica of an expert must stay.
        if (aPlacement.Replicas(aPlacement.Slots()[target][slot]) < 2) {
          continue;
        }
        Placement changed = aPlacement;
        changed.Replace(target, slot, expert);
        if (const double skew = changed.Skew(aLoads); skew < aBest.mSkew) {
          aBest = { target, slot, expert, skew };
          isFound = true;
        }
      }
    }
  }
  return isFound;
}

bool
Planner::IsWorth(double aBefore, double aAfter) const
{
  // A step takes as long as its hottest rank, so the share of time saved is
  // that of the skew.
  const double saved = (aBefore - aAfter) / aBefore *
                       std::chrono::duration<double>(mLimits.mHorizon).count();
  const double cost =
    static_cast<double>(mLimits.mExpertBytes) / mLimits.mBytesPerSecond;
  return saved > cost;
}

}
