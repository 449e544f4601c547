#include "rebalancing/planner.h"

#include <algorithm>
#include <numeric>

namespace beryllever::rebalancing {

namespace {

/** Number of least loaded ranks that are tried as targets of a move. */
constexpr size_t kMaxTargets = 8;

std::vector<Rank>
RanksByLoad(const std::vector<double>& aLoads)
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
    if (!FindBestMove(plan.mPlacement, aLoads, best) ||
        !IsWorthwhile(before, best.mSkew)) {
      break;
    }
    plan.mPlacement.Replace(best.mRank, best.mSlot, best.mExpert);
    ++plan.mMoves;
    plan.mBytes += mLimits.mExpertBytes;
  }
  return plan;
}

bool
Planner::FindBestMove(const Placement& aPlacement,
                      const Loads& aLoads,
                      Move& aBest) const
{
  const std::vector<Rank> ranks = RanksByLoad(aPlacement.RankLoads(aLoads));
  const Rank hottest = ranks.back();
  bool isFound = false;
  for (size_t i = 0; i < std::min(kMaxTargets, ranks.size() - 1); ++i) {
    const Rank target = ranks[i];
    for (const Expert expert : aPlacement.Slots()[hottest]) {
      if (aPlacement.Holds(target, expert)) {
        continue;
      }
      for (size_t slot = 0; slot < aPlacement.Slots()[target].size(); ++slot) {
        // The last replica of an expert must not be replaced.
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
Planner::IsWorthwhile(double aBefore, double aAfter) const
{
  // The duration of a step is proportional to the largest rank load, so the
  // fraction of time saved equals the relative decrease of the skew.
  const double savedSeconds =
    (aBefore - aAfter) / aBefore *
    std::chrono::duration<double>(mLimits.mHorizon).count();
  const double transferSeconds =
    static_cast<double>(mLimits.mExpertBytes) / mLimits.mBytesPerSecond;
  return savedSeconds > transferSeconds;
}

}
