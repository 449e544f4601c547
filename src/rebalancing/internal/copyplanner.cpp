#include "rebalancing/copyplanner.h"

#include "rebalancing/internal/layersearch.h"

#include <algorithm>

namespace beryllever::rebalancing {

namespace {

size_t
CountNew(const std::vector<Expert>& aExperts,
         const std::vector<Expert>& aCurrent)
{
  return static_cast<size_t>(
    std::count_if(aExperts.begin(), aExperts.end(), [&](Expert aExpert) {
      return std::find(aCurrent.begin(), aCurrent.end(), aExpert) ==
             aCurrent.end();
    }));
}

/** Returns the number of experts that the busiest rank copies. */
size_t
BusiestCopies(const std::vector<ExpertsByRank>& aLayers,
              const std::vector<ExpertsByRank>& aCurrent)
{
  std::vector<size_t> copies(aCurrent.empty() ? 0 : aCurrent.front().size(), 0);
  for (size_t layer = 0; layer < aLayers.size(); ++layer) {
    for (Rank rank = 0; rank < copies.size(); ++rank) {
      copies[rank] += CountNew(aLayers[layer][rank], aCurrent[layer][rank]);
    }
  }
  return copies.empty() ? 0 : *std::max_element(copies.begin(), copies.end());
}

/** Searches of all layers, which share the copies that a rank may make. */
class GroupSearch
{
public:
  GroupSearch(const LayerLimits& aLimits,
              size_t aCopiesPerRank,
              const std::vector<ExpertsByRank>& aCurrent,
              const std::vector<Loads>& aLoads,
              const Slowdowns& aSlowdowns)
    : mBudget(aCurrent.front().size(), aCopiesPerRank)
  {
    for (size_t layer = 0; layer < aCurrent.size(); ++layer) {
      mLayers.emplace_back(
        aLimits, aCurrent[layer], aLoads[layer], aSlowdowns, mBudget);
      mBest.push_back(mLayers.back().FindBest());
    }
  }

  std::vector<ExpertsByRank> Run()
  {
    const size_t maxSteps = mLayers.size() * mLayers.front().MaxSteps();
    for (size_t i = 0; i < maxSteps && ApplyBest(); ++i) {
    }
    std::vector<ExpertsByRank> layers;
    for (const LayerSearch& layer : mLayers) {
      layers.push_back(layer.Experts());
    }
    return layers;
  }

private:
  bool ApplyBest()
  {
    std::optional<size_t> best;
    for (size_t layer = 0; layer < mLayers.size(); ++layer) {
      // Changes of other layers may have used up the budget.
      if (mBest[layer] && !mLayers[layer].IsAllowed(*mBest[layer])) {
        mBest[layer] = mLayers[layer].FindBest();
      }
      if (mBest[layer] &&
          (!best || mBest[layer]->mGain > mBest[*best]->mGain)) {
        best = layer;
      }
    }
    if (!best) {
      return false;
    }
    mLayers[*best].Apply(*mBest[*best]);
    mBest[*best] = mLayers[*best].FindBest();
    return true;
  }

  CopyBudget mBudget;
  std::vector<LayerSearch> mLayers;
  std::vector<std::optional<Candidate>> mBest;
};

double
SumOfMaxLoads(const std::vector<ExpertsByRank>& aLayers,
              const std::vector<Loads>& aLoads,
              const Slowdowns& aSlowdowns)
{
  double sum = 0;
  for (size_t layer = 0; layer < aLayers.size(); ++layer) {
    sum += MaxRankLoad(aLayers[layer], aLoads[layer], aSlowdowns);
  }
  return sum;
}

}

CopyPlanner::CopyPlanner(const LayerLimits& aLimits, const ChangeCost& aCost)
  : mLimits(aLimits)
  , mCost(aCost)
{
}

Seconds
CopyPlanner::TimeOf(size_t aCopies) const
{
  return mCost.mChangeTime + mCost.mCopyTime * static_cast<double>(aCopies);
}

CopyPlan
CopyPlanner::ImproveWithin(size_t aCopiesPerRank,
                           const std::vector<ExpertsByRank>& aCurrent,
                           const std::vector<Loads>& aLoads,
                           const Slowdowns& aSlowdowns) const
{
  CopyPlan plan;
  plan.mLayers =
    GroupSearch(mLimits, aCopiesPerRank, aCurrent, aLoads, aSlowdowns).Run();
  plan.mCopies = BusiestCopies(plan.mLayers, aCurrent);
  plan.mLoadBefore = SumOfMaxLoads(aCurrent, aLoads, aSlowdowns);
  plan.mLoadAfter = SumOfMaxLoads(plan.mLayers, aLoads, aSlowdowns);
  return plan;
}

double
CopyPlanner::Saving(const std::vector<CopyPlan>& aPlans, size_t aIndex) const
{
  const size_t copiesPerChange = std::max<size_t>(1, aPlans[aIndex].mCopies);
  const Seconds changeTime = TimeOf(copiesPerChange);
  const double before = aPlans.front().mLoadBefore;
  double load = before;
  double spent = 0;
  Seconds left = mCost.mHorizon;
  size_t copies = 0;
  for (size_t i = aIndex; i < aPlans.size() && left > Seconds(0); ++i) {
    // Reaches the next plan by changes of the same size.
    while (copies < std::max(copiesPerChange, aPlans[i].mCopies) &&
           left > Seconds(0)) {
      const Seconds time = std::min(left, changeTime);
      spent += time.count() * load * (1 + mCost.mCopySlowdown);
      left -= time;
      copies += copiesPerChange;
    }
    load = std::min(load, aPlans[i].mLoadAfter);
  }
  spent += left.count() * load;
  const double total = before * mCost.mHorizon.count();
  return total > 0 ? 1 - spent / total : 0;
}

CopyPlan
CopyPlanner::Improve(const std::vector<ExpertsByRank>& aCurrent,
                     const std::vector<Loads>& aLoads,
                     const Slowdowns& aSlowdowns) const
{
  const size_t maxCopies = mLimits.mMaxNewPerRank * aCurrent.size();
  // Fewer copies than take as long as the change itself save nothing.
  const double freeCopies = mCost.mCopyTime > Seconds(0)
                              ? mCost.mChangeTime / mCost.mCopyTime
                              : static_cast<double>(maxCopies);
  size_t copies = static_cast<size_t>(std::clamp(
    freeCopies, 1.0, static_cast<double>(std::max<size_t>(1, maxCopies))));
  std::vector<CopyPlan> plans;
  do {
    plans.push_back(ImproveWithin(copies, aCurrent, aLoads, aSlowdowns));
    const bool isUnbound = plans.back().mCopies < copies;
    copies *= 2;
    if (isUnbound) {
      break;
    }
  } while (copies < 2 * maxCopies);
  for (size_t i = 0; i < plans.size(); ++i) {
    plans[i].mSaving = Saving(plans, i);
  }
  return *std::max_element(plans.begin(),
                           plans.end(),
                           [](const CopyPlan& aLeft, const CopyPlan& aRight) {
                             return aLeft.mSaving < aRight.mSaving;
                           });
}

}
