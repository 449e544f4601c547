#include "rebalancing/layerplanner.h"

#include <algorithm>
#include <optional>

namespace beryllever::rebalancing {

namespace {

/** What a step counts that needs no copy. */
constexpr double kFreeStep = 0.25;
/** Ranks, the least loaded first, that are tried as targets. */
constexpr size_t kTargets = 12;

bool
Contains(const std::vector<Expert>& aList, Expert aExpert)
{
  return std::find(aList.begin(), aList.end(), aExpert) != aList.end();
}

double
PaceOf(const Paces& aPaces, Rank aRank)
{
  return aPaces.empty() ? 1 : aPaces[aRank];
}

/** One replacement: an expert comes to the target, and experts may go. */
struct Step
{
  Rank mTarget = 0;
  Expert mExpert = 0;
  /** Expert that the target gives up. */
  std::optional<Expert> mDropped;
  /** Whether the most loaded rank gives the expert up. */
  bool mIsMove = false;
  /** Whether the most loaded rank takes the dropped expert. */
  bool mIsSwap = false;
};

/** Search from one placement by single steps off the most loaded rank. */
class LayerSearch
{
public:
  LayerSearch(const LayerLimits& aLimits,
              const RankLists& aCurrent,
              const Loads& aLoads,
              const Paces& aPaces)
    : mLimits(aLimits)
    , mCurrent(aCurrent)
    , mLoads(aLoads)
    , mPaces(aPaces)
    , mLists(aCurrent)
    , mHolders(aLoads.size())
    , mRankLoads(aCurrent.size(), 0)
    , mNew(aCurrent.size(), 0)
  {
    for (Rank rank = 0; rank < mLists.size(); ++rank) {
      for (const Expert expert : mLists[rank]) {
        mHolders[expert].push_back(rank);
      }
    }
    Recompute();
  }

  RankLists Run()
  {
    const size_t maxSteps = mLists.size() * mLimits.mNewPerRank * 2;
    for (size_t i = 0; i < maxSteps && TakeBestStep(); ++i) {
    }
    return mLists;
  }

private:
  double ShareOf(Expert aExpert, size_t aHolders) const
  {
    return mLoads[aExpert] / static_cast<double>(aHolders);
  }

  /** Time that a load takes at a rank. */
  double At(Rank aRank, double aLoad) const
  {
    return aLoad * PaceOf(mPaces, aRank);
  }

  void Recompute()
  {
    std::fill(mRankLoads.begin(), mRankLoads.end(), 0.0);
    for (Rank rank = 0; rank < mLists.size(); ++rank) {
      for (const Expert expert : mLists[rank]) {
        mRankLoads[rank] += At(rank, ShareOf(expert, mHolders[expert].size()));
      }
    }
  }

  bool TakeBestStep()
  {
    const Rank hottest =
      static_cast<Rank>(std::max_element(mRankLoads.begin(), mRankLoads.end()) -
                        mRankLoads.begin());
    mBefore = mRankLoads[hottest];
    mBestGain = mBefore * mLimits.mMinGain;
    mBest.reset();
    for (const Rank target : CoolRanks(hottest)) {
      for (const Expert expert : mLists[hottest]) {
        if (!Contains(mLists[target], expert) && MayTake(target, expert)) {
          TryTarget(hottest, target, expert);
        }
      }
    }
    if (!mBest) {
      return false;
    }
    Apply(hottest, *mBest);
    return true;
  }

  std::vector<Rank> CoolRanks(Rank aHottest) const
  {
    std::vector<Rank> ranks;
    for (Rank rank = 0; rank < mLists.size(); ++rank) {
      if (rank != aHottest) {
        ranks.push_back(rank);
      }
    }
    std::sort(ranks.begin(), ranks.end(), [this](Rank aLeft, Rank aRight) {
      return mRankLoads[aLeft] < mRankLoads[aRight];
    });
    ranks.resize(std::min(ranks.size(), kTargets));
    return ranks;
  }

  bool MayTake(Rank aRank, Expert aExpert) const
  {
    return mNew[aRank] < mLimits.mNewPerRank ||
           Contains(mCurrent[aRank], aExpert);
  }

  void TryTarget(Rank aHottest, Rank aTarget, Expert aExpert)
  {
    if (mLists[aTarget].size() < mLimits.mPlacesPerRank) {
      TryStep(aHottest, { aTarget, aExpert, {}, false, false });
      TryStep(aHottest, { aTarget, aExpert, {}, true, false });
    }
    for (const Expert dropped : mLists[aTarget]) {
      if (mHolders[dropped].size() > 1) {
        TryStep(aHottest, { aTarget, aExpert, dropped, false, false });
        TryStep(aHottest, { aTarget, aExpert, dropped, true, false });
      }
      if (!Contains(mLists[aHottest], dropped) && MayTake(aHottest, dropped)) {
        TryStep(aHottest, { aTarget, aExpert, dropped, true, true });
      }
    }
  }

  /** Experts that ranks have to copy for a step. */
  double Copies(Rank aHottest, const Step& aStep) const
  {
    double copies = Contains(mCurrent[aStep.mTarget], aStep.mExpert) ? 0 : 1;
    if (aStep.mIsSwap && !Contains(mCurrent[aHottest], *aStep.mDropped)) {
      copies += 1;
    }
    return copies;
  }

  /** Weighs the largest load among the ranks that the step changes. */
  void TryStep(Rank aHottest, const Step& aStep)
  {
    const size_t holders = mHolders[aStep.mExpert].size();
    const double before = ShareOf(aStep.mExpert, holders);
    const double after =
      aStep.mIsMove ? before : ShareOf(aStep.mExpert, holders + 1);
    double hot =
      mRankLoads[aHottest] - At(aHottest, before - (aStep.mIsMove ? 0 : after));
    double target = mRankLoads[aStep.mTarget] + At(aStep.mTarget, after);
    double worst = 0;
    if (aStep.mDropped) {
      const Expert dropped = *aStep.mDropped;
      const size_t n = mHolders[dropped].size();
      const double share = ShareOf(dropped, n);
      target -= At(aStep.mTarget, share);
      if (aStep.mIsSwap) {
        hot += At(aHottest, share);
      } else {
        const double more = ShareOf(dropped, n - 1) - share;
        for (const Rank rank : mHolders[dropped]) {
          if (rank == aHottest) {
            hot += At(aHottest, more);
          } else if (rank != aStep.mTarget) {
            worst = std::max(worst, mRankLoads[rank] + At(rank, more));
          }
        }
      }
    }
    worst = std::max({ worst, hot, target });
    const double gain =
      (mBefore - worst) / std::max(kFreeStep, Copies(aHottest, aStep));
    if (gain > mBestGain) {
      mBestGain = gain;
      mBest = aStep;
    }
  }

  void Apply(Rank aHottest, const Step& aStep)
  {
    Add(aStep.mTarget, aStep.mExpert);
    if (aStep.mIsMove) {
      Remove(aHottest, aStep.mExpert);
    }
    if (aStep.mDropped) {
      Remove(aStep.mTarget, *aStep.mDropped);
      if (aStep.mIsSwap) {
        Add(aHottest, *aStep.mDropped);
      }
    }
    Recompute();
  }

  void Add(Rank aRank, Expert aExpert)
  {
    mLists[aRank].push_back(aExpert);
    mHolders[aExpert].push_back(aRank);
    mNew[aRank] += Contains(mCurrent[aRank], aExpert) ? 0 : 1;
  }

  void Remove(Rank aRank, Expert aExpert)
  {
    std::erase(mLists[aRank], aExpert);
    std::erase(mHolders[aExpert], aRank);
    mNew[aRank] -= Contains(mCurrent[aRank], aExpert) ? 0 : 1;
  }

  const LayerLimits& mLimits;
  const RankLists& mCurrent;
  const Loads& mLoads;
  const Paces& mPaces;
  RankLists mLists;
  std::vector<std::vector<Rank>> mHolders;
  std::vector<double> mRankLoads;
  std::vector<size_t> mNew;
  double mBefore = 0;
  /** Load saved for each expert copied. */
  double mBestGain = 0;
  std::optional<Step> mBest;
};

}

double
LargestLoad(const RankLists& aLists, const Loads& aLoads, const Paces& aPaces)
{
  std::vector<size_t> holders(aLoads.size(), 0);
  for (const auto& list : aLists) {
    for (const Expert expert : list) {
      ++holders[expert];
    }
  }
  double largest = 0;
  for (Rank rank = 0; rank < aLists.size(); ++rank) {
    double load = 0;
    for (const Expert expert : aLists[rank]) {
      load += aLoads[expert] / static_cast<double>(holders[expert]);
    }
    largest = std::max(largest, load * PaceOf(aPaces, rank));
  }
  return largest;
}

LayerPlanner::LayerPlanner(const LayerLimits& aLimits)
  : mLimits(aLimits)
{
}

RankLists
LayerPlanner::Improve(const RankLists& aCurrent,
                      const Loads& aLoads,
                      const Paces& aPaces) const
{
  return LayerSearch(mLimits, aCurrent, aLoads, aPaces).Run();
}

}
