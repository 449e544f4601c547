#include "rebalancing/layerplanner.h"

#include <algorithm>
#include <optional>

namespace beryllever::rebalancing {

namespace {

/** Lower bound of the copy count by which the gain of a candidate is divided;
 * used for candidates that need no copy. */
constexpr double kMinCopyCost = 0.25;
/** Number of least loaded ranks that are tried as targets. */
constexpr size_t kMaxTargets = 12;

bool
Contains(const std::vector<Expert>& aList, Expert aExpert)
{
  return std::find(aList.begin(), aList.end(), aExpert) != aList.end();
}

double
SlowdownOf(const Slowdowns& aSlowdowns, Rank aRank)
{
  return aSlowdowns.empty() ? 1 : aSlowdowns[aRank];
}

/** Candidate change: the target rank receives an expert from the most loaded
 * rank and may drop one in return. */
struct Candidate
{
  Rank mTarget = 0;
  Expert mExpert = 0;
  /** Expert that the target drops. */
  std::optional<Expert> mDropped;
  /** Whether the most loaded rank drops mExpert rather than keeping a replica.
   */
  bool mIsMove = false;
  /** Whether the most loaded rank receives the expert that the target drops. */
  bool mIsSwap = false;
};

/** Greedy local search. Each iteration applies the change of the most loaded
 * rank that has the best gain per copied expert. */
class LayerSearch
{
public:
  LayerSearch(const LayerLimits& aLimits,
              const ExpertsByRank& aCurrent,
              const Loads& aLoads,
              const Slowdowns& aSlowdowns)
    : mLimits(aLimits)
    , mCurrent(aCurrent)
    , mLoads(aLoads)
    , mSlowdowns(aSlowdowns)
    , mExpertsByRank(aCurrent)
    , mHolders(aLoads.size())
    , mRankLoads(aCurrent.size(), 0)
    , mNewCounts(aCurrent.size(), 0)
  {
    for (Rank rank = 0; rank < mExpertsByRank.size(); ++rank) {
      for (const Expert expert : mExpertsByRank[rank]) {
        mHolders[expert].push_back(rank);
      }
    }
    ComputeRankLoads();
  }

  ExpertsByRank Run()
  {
    const size_t maxIterations =
      mExpertsByRank.size() * mLimits.mMaxNewPerRank * 2;
    for (size_t i = 0; i < maxIterations && ApplyBestCandidate(); ++i) {
    }
    return mExpertsByRank;
  }

private:
  double ShareOf(Expert aExpert, size_t aHolders) const
  {
    return mLoads[aExpert] / static_cast<double>(aHolders);
  }

  /** Returns the load of a rank weighted by its slowdown. */
  double WeightedLoad(Rank aRank, double aLoad) const
  {
    return aLoad * SlowdownOf(mSlowdowns, aRank);
  }

  void ComputeRankLoads()
  {
    std::fill(mRankLoads.begin(), mRankLoads.end(), 0.0);
    for (Rank rank = 0; rank < mExpertsByRank.size(); ++rank) {
      for (const Expert expert : mExpertsByRank[rank]) {
        mRankLoads[rank] +=
          WeightedLoad(rank, ShareOf(expert, mHolders[expert].size()));
      }
    }
  }

  bool ApplyBestCandidate()
  {
    const Rank hottest =
      static_cast<Rank>(std::max_element(mRankLoads.begin(), mRankLoads.end()) -
                        mRankLoads.begin());
    mHottestLoad = mRankLoads[hottest];
    mBestGain = mHottestLoad * mLimits.mMinGainPerCopy;
    mBestCandidate.reset();
    for (const Rank target : LeastLoadedRanks(hottest)) {
      for (const Expert expert : mExpertsByRank[hottest]) {
        if (!Contains(mExpertsByRank[target], expert) &&
            CanReceive(target, expert)) {
          EvaluateTarget(hottest, target, expert);
        }
      }
    }
    if (!mBestCandidate) {
      return false;
    }
    Apply(hottest, *mBestCandidate);
    return true;
  }

  std::vector<Rank> LeastLoadedRanks(Rank aHottest) const
  {
    std::vector<Rank> ranks;
    for (Rank rank = 0; rank < mExpertsByRank.size(); ++rank) {
      if (rank != aHottest) {
        ranks.push_back(rank);
      }
    }
    std::sort(ranks.begin(), ranks.end(), [this](Rank aLeft, Rank aRight) {
      return mRankLoads[aLeft] < mRankLoads[aRight];
    });
    ranks.resize(std::min(ranks.size(), kMaxTargets));
    return ranks;
  }

  bool CanReceive(Rank aRank, Expert aExpert) const
  {
    return mNewCounts[aRank] < mLimits.mMaxNewPerRank ||
           Contains(mCurrent[aRank], aExpert);
  }

  void EvaluateTarget(Rank aHottest, Rank aTarget, Expert aExpert)
  {
    if (mExpertsByRank[aTarget].size() < mLimits.mSlotsPerRank) {
      EvaluateCandidate(aHottest, { aTarget, aExpert, {}, false, false });
      EvaluateCandidate(aHottest, { aTarget, aExpert, {}, true, false });
    }
    for (const Expert dropped : mExpertsByRank[aTarget]) {
      if (mHolders[dropped].size() > 1) {
        EvaluateCandidate(aHottest,
                          { aTarget, aExpert, dropped, false, false });
        EvaluateCandidate(aHottest, { aTarget, aExpert, dropped, true, false });
      }
      if (!Contains(mExpertsByRank[aHottest], dropped) &&
          CanReceive(aHottest, dropped)) {
        EvaluateCandidate(aHottest, { aTarget, aExpert, dropped, true, true });
      }
    }
  }

  /** Returns the number of experts that ranks have to copy for a candidate. */
  double CopyCount(Rank aHottest, const Candidate& aCandidate) const
  {
    double copies =
      Contains(mCurrent[aCandidate.mTarget], aCandidate.mExpert) ? 0 : 1;
    if (aCandidate.mIsSwap &&
        !Contains(mCurrent[aHottest], *aCandidate.mDropped)) {
      copies += 1;
    }
    return copies;
  }

  /** Keeps the candidate if it beats the best one so far. Its gain is the drop
   * from the load of the most loaded rank to the largest load among the ranks
   * that it changes, per copied expert. */
  void EvaluateCandidate(Rank aHottest, const Candidate& aCandidate)
  {
    const size_t holders = mHolders[aCandidate.mExpert].size();
    const double before = ShareOf(aCandidate.mExpert, holders);
    const double after =
      aCandidate.mIsMove ? before : ShareOf(aCandidate.mExpert, holders + 1);
    double hot =
      mRankLoads[aHottest] -
      WeightedLoad(aHottest, before - (aCandidate.mIsMove ? 0 : after));
    double target =
      mRankLoads[aCandidate.mTarget] + WeightedLoad(aCandidate.mTarget, after);
    double worst = 0;
    if (aCandidate.mDropped) {
      const Expert dropped = *aCandidate.mDropped;
      const size_t n = mHolders[dropped].size();
      const double share = ShareOf(dropped, n);
      target -= WeightedLoad(aCandidate.mTarget, share);
      if (aCandidate.mIsSwap) {
        hot += WeightedLoad(aHottest, share);
      } else {
        const double more = ShareOf(dropped, n - 1) - share;
        for (const Rank rank : mHolders[dropped]) {
          if (rank == aHottest) {
            hot += WeightedLoad(aHottest, more);
          } else if (rank != aCandidate.mTarget) {
            worst =
              std::max(worst, mRankLoads[rank] + WeightedLoad(rank, more));
          }
        }
      }
    }
    worst = std::max({ worst, hot, target });
    const double gain = (mHottestLoad - worst) /
                        std::max(kMinCopyCost, CopyCount(aHottest, aCandidate));
    if (gain > mBestGain) {
      mBestGain = gain;
      mBestCandidate = aCandidate;
    }
  }

  void Apply(Rank aHottest, const Candidate& aCandidate)
  {
    Add(aCandidate.mTarget, aCandidate.mExpert);
    if (aCandidate.mIsMove) {
      Remove(aHottest, aCandidate.mExpert);
    }
    if (aCandidate.mDropped) {
      Remove(aCandidate.mTarget, *aCandidate.mDropped);
      if (aCandidate.mIsSwap) {
        Add(aHottest, *aCandidate.mDropped);
      }
    }
    ComputeRankLoads();
  }

  void Add(Rank aRank, Expert aExpert)
  {
    mExpertsByRank[aRank].push_back(aExpert);
    mHolders[aExpert].push_back(aRank);
    mNewCounts[aRank] += Contains(mCurrent[aRank], aExpert) ? 0 : 1;
  }

  void Remove(Rank aRank, Expert aExpert)
  {
    std::erase(mExpertsByRank[aRank], aExpert);
    std::erase(mHolders[aExpert], aRank);
    mNewCounts[aRank] -= Contains(mCurrent[aRank], aExpert) ? 0 : 1;
  }

  const LayerLimits& mLimits;
  const ExpertsByRank& mCurrent;
  const Loads& mLoads;
  const Slowdowns& mSlowdowns;
  ExpertsByRank mExpertsByRank;
  std::vector<std::vector<Rank>> mHolders;
  std::vector<double> mRankLoads;
  std::vector<size_t> mNewCounts;
  double mHottestLoad = 0;
  /** Load that the best candidate saves per copied expert. */
  double mBestGain = 0;
  std::optional<Candidate> mBestCandidate;
};

}

double
MaxRankLoad(const ExpertsByRank& aExperts,
            const Loads& aLoads,
            const Slowdowns& aSlowdowns)
{
  std::vector<size_t> holders(aLoads.size(), 0);
  for (const auto& list : aExperts) {
    for (const Expert expert : list) {
      ++holders[expert];
    }
  }
  double largest = 0;
  for (Rank rank = 0; rank < aExperts.size(); ++rank) {
    double load = 0;
    for (const Expert expert : aExperts[rank]) {
      load += aLoads[expert] / static_cast<double>(holders[expert]);
    }
    largest = std::max(largest, load * SlowdownOf(aSlowdowns, rank));
  }
  return largest;
}

LayerPlanner::LayerPlanner(const LayerLimits& aLimits)
  : mLimits(aLimits)
{
}

ExpertsByRank
LayerPlanner::Improve(const ExpertsByRank& aCurrent,
                      const Loads& aLoads,
                      const Slowdowns& aSlowdowns) const
{
  return LayerSearch(mLimits, aCurrent, aLoads, aSlowdowns).Run();
}

}
