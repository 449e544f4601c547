#pragma once

#include "rebalancing/layerplanner.h"

#include <optional>

namespace beryllever::rebalancing {

/** Number of experts that each rank may still copy in a change, over all
 * layers. */
class CopyBudget
{
public:
  CopyBudget(size_t aRanks, size_t aCopiesPerRank);

  bool IsSpent(Rank aRank) const { return mLeft[aRank] == 0; }
  void Take(Rank aRank) { --mLeft[aRank]; }
  void Return(Rank aRank) { ++mLeft[aRank]; }

private:
  std::vector<size_t> mLeft;
};

/** Candidate change: the target rank receives an expert from the most loaded
 * rank and may drop one in return. */
struct Candidate
{
  Rank mSource = 0;
  Rank mTarget = 0;
  Expert mExpert = 0;
  /** Expert that the target drops. */
  std::optional<Expert> mDropped;
  /** Whether the source drops mExpert rather than keeping a replica. */
  bool mIsMove = false;
  /** Whether the source receives the expert that the target drops. */
  bool mIsSwap = false;
  /** Load that the change saves per copied expert. */
  double mGain = 0;
};

/** Greedy local search for a better placement of the experts of one layer. Each
 * step applies the change of the most loaded rank that has the best gain per
 * copied expert. */
class LayerSearch
{
public:
  /** All arguments but the limits are referred to, not copied. */
  LayerSearch(const LayerLimits& aLimits,
              const ExpertsByRank& aCurrent,
              const Loads& aLoads,
              const Slowdowns& aSlowdowns,
              CopyBudget& aBudget);

  /** Returns the change with the best gain, if one is good enough. */
  std::optional<Candidate> FindBest() const;
  /** Whether the budget still allows a change that was found before. */
  bool IsAllowed(const Candidate& aCandidate) const;
  void Apply(const Candidate& aCandidate);

  /** Largest number of changes that the search may take. */
  size_t MaxSteps() const;
  const ExpertsByRank& Experts() const { return mExpertsByRank; }

private:
  double ShareOf(Expert aExpert, size_t aHolders) const
  {
    return mLoads[aExpert] / static_cast<double>(aHolders);
  }
  /** Returns the load of a rank weighted by its slowdown. */
  double WeightedLoad(Rank aRank, double aLoad) const;
  /** Adds the shares of an expert to the loads of the ranks that hold it, or
   * takes them away if aSign is -1. */
  void AddLoads(Expert aExpert, double aSign);
  std::vector<Rank> LeastLoadedRanks(Rank aHottest) const;
  bool CanReceive(Rank aRank, Expert aExpert) const;
  void EvaluateTarget(Rank aTarget, Expert aExpert, Candidate& aBest) const;
  /** Returns the number of experts that ranks have to copy for a candidate. */
  double CopyCount(const Candidate& aCandidate) const;
  /** Keeps the candidate if it beats the best one so far. Its gain is the drop
   * from the load of the most loaded rank to the largest load among the ranks
   * that it changes, per copied expert. */
  void Evaluate(Candidate aCandidate, Candidate& aBest) const;
  void Add(Rank aRank, Expert aExpert);
  void Remove(Rank aRank, Expert aExpert);

  const LayerLimits mLimits;
  const ExpertsByRank& mCurrent;
  const Loads& mLoads;
  const Slowdowns& mSlowdowns;
  CopyBudget& mBudget;
  ExpertsByRank mExpertsByRank;
  std::vector<std::vector<Rank>> mHolders;
  std::vector<double> mRankLoads;
  std::vector<size_t> mNewCounts;
};

}
