#include "rebalancing/internal/layersearch.h"

#include <algorithm>

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

}

CopyBudget::CopyBudget(size_t aRanks, size_t aCopiesPerRank)
  : mLeft(aRanks, aCopiesPerRank)
{
}

LayerSearch::LayerSearch(const LayerLimits& aLimits,
                         const ExpertsByRank& aCurrent,
                         const Loads& aLoads,
                         const Slowdowns& aSlowdowns,
                         CopyBudget& aBudget)
  : mLimits(aLimits)
  , mCurrent(aCurrent)
  , mLoads(aLoads)
  , mSlowdowns(aSlowdowns)
  , mBudget(aBudget)
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
  for (Expert expert = 0; expert < mHolders.size(); ++expert) {
    if (!mHolders[expert].empty()) {
      AddLoads(expert, 1);
    }
  }
}

size_t
LayerSearch::MaxSteps() const
{
  return mCurrent.size() * mLimits.mMaxNewPerRank * 2;
}

double
LayerSearch::WeightedLoad(Rank aRank, double aLoad) const
{
  return mSlowdowns.empty() ? aLoad : aLoad * mSlowdowns[aRank];
}

std::optional<Candidate>
LayerSearch::FindBest() const
{
  const Rank hottest =
    static_cast<Rank>(std::max_element(mRankLoads.begin(), mRankLoads.end()) -
                      mRankLoads.begin());
  const double minGain = mRankLoads[hottest] * mLimits.mMinGainPerCopy;
  Candidate best{ .mSource = hottest, .mGain = minGain };
  for (const Rank target : LeastLoadedRanks(hottest)) {
    for (const Expert expert : mExpertsByRank[hottest]) {
      if (!Contains(mExpertsByRank[target], expert) &&
          CanReceive(target, expert)) {
        EvaluateTarget(target, expert, best);
      }
    }
  }
  if (best.mGain <= minGain) {
    return std::nullopt;
  }
  return best;
}

bool
LayerSearch::IsAllowed(const Candidate& aCandidate) const
{
  return CanReceive(aCandidate.mTarget, aCandidate.mExpert) &&
         (!aCandidate.mIsSwap ||
          CanReceive(aCandidate.mSource, *aCandidate.mDropped));
}

std::vector<Rank>
LayerSearch::LeastLoadedRanks(Rank aHottest) const
{
  std::vector<Rank> ranks;
  for (Rank rank = 0; rank < mExpertsByRank.size(); ++rank) {
    if (rank != aHottest) {
      ranks.push_back(rank);
    }
  }
  const size_t n = std::min(ranks.size(), kMaxTargets);
  std::partial_sort(ranks.begin(),
                    ranks.begin() + static_cast<std::ptrdiff_t>(n),
                    ranks.end(),
                    [this](Rank aLeft, Rank aRight) {
                      return mRankLoads[aLeft] < mRankLoads[aRight];
                    });
  ranks.resize(n);
  return ranks;
}

bool
LayerSearch::CanReceive(Rank aRank, Expert aExpert) const
{
  return (mNewCounts[aRank] < mLimits.mMaxNewPerRank &&
          !mBudget.IsSpent(aRank)) ||
         Contains(mCurrent[aRank], aExpert);
}

void
LayerSearch::EvaluateTarget(Rank aTarget,
                            Expert aExpert,
                            Candidate& aBest) const
{
  Candidate candidate{ .mSource = aBest.mSource,
                       .mTarget = aTarget,
                       .mExpert = aExpert };
  const auto evaluate =
    [&](std::optional<Expert> aDropped, bool aIsMove, bool aIsSwap) {
      candidate.mDropped = aDropped;
      candidate.mIsMove = aIsMove;
      candidate.mIsSwap = aIsSwap;
      Evaluate(candidate, aBest);
    };
  if (mExpertsByRank[aTarget].size() < mLimits.mSlotsPerRank) {
    evaluate({}, false, false);
    evaluate({}, true, false);
  }
  for (const Expert dropped : mExpertsByRank[aTarget]) {
    if (mHolders[dropped].size() > 1) {
      evaluate(dropped, false, false);
      evaluate(dropped, true, false);
    }
    if (!Contains(mExpertsByRank[aBest.mSource], dropped) &&
        CanReceive(aBest.mSource, dropped)) {
      evaluate(dropped, true, true);
    }
  }
}

double
LayerSearch::CopyCount(const Candidate& aCandidate) const
{
  double copies =
    Contains(mCurrent[aCandidate.mTarget], aCandidate.mExpert) ? 0 : 1;
  if (aCandidate.mIsSwap &&
      !Contains(mCurrent[aCandidate.mSource], *aCandidate.mDropped)) {
    copies += 1;
  }
  return copies;
}

void
LayerSearch::Evaluate(Candidate aCandidate, Candidate& aBest) const
{
  const Rank hottest = aCandidate.mSource;
  const Rank targetRank = aCandidate.mTarget;
  const size_t holders = mHolders[aCandidate.mExpert].size();
  const double before = ShareOf(aCandidate.mExpert, holders);
  const double after =
    aCandidate.mIsMove ? before : ShareOf(aCandidate.mExpert, holders + 1);
  double hot = mRankLoads[hottest] -
               WeightedLoad(hottest, before - (aCandidate.mIsMove ? 0 : after));
  double target = mRankLoads[targetRank] + WeightedLoad(targetRank, after);
  double worst = 0;
  if (aCandidate.mDropped) {
    const Expert dropped = *aCandidate.mDropped;
    const size_t n = mHolders[dropped].size();
    const double share = ShareOf(dropped, n);
    target -= WeightedLoad(targetRank, share);
    if (aCandidate.mIsSwap) {
      hot += WeightedLoad(hottest, share);
    } else {
      const double more = ShareOf(dropped, n - 1) - share;
      for (const Rank rank : mHolders[dropped]) {
        if (rank == hottest) {
          hot += WeightedLoad(hottest, more);
        } else if (rank != targetRank) {
          worst = std::max(worst, mRankLoads[rank] + WeightedLoad(rank, more));
        }
      }
    }
  }
  worst = std::max({ worst, hot, target });
  aCandidate.mGain = (mRankLoads[hottest] - worst) /
                     std::max(kMinCopyCost, CopyCount(aCandidate));
  if (aCandidate.mGain > aBest.mGain) {
    aBest = aCandidate;
  }
}

void
LayerSearch::Apply(const Candidate& aCandidate)
{
  Add(aCandidate.mTarget, aCandidate.mExpert);
  if (aCandidate.mIsMove) {
    Remove(aCandidate.mSource, aCandidate.mExpert);
  }
  if (aCandidate.mDropped) {
    Remove(aCandidate.mTarget, *aCandidate.mDropped);
    if (aCandidate.mIsSwap) {
      Add(aCandidate.mSource, *aCandidate.mDropped);
    }
  }
}

void
LayerSearch::AddLoads(Expert aExpert, double aSign)
{
  const double share = ShareOf(aExpert, mHolders[aExpert].size());
  for (const Rank rank : mHolders[aExpert]) {
    mRankLoads[rank] += aSign * WeightedLoad(rank, share);
  }
}

void
LayerSearch::Add(Rank aRank, Expert aExpert)
{
  AddLoads(aExpert, -1);
  mExpertsByRank[aRank].push_back(aExpert);
  mHolders[aExpert].push_back(aRank);
  AddLoads(aExpert, 1);
  if (!Contains(mCurrent[aRank], aExpert)) {
    ++mNewCounts[aRank];
    mBudget.Take(aRank);
  }
}

void
LayerSearch::Remove(Rank aRank, Expert aExpert)
{
  AddLoads(aExpert, -1);
  std::erase(mExpertsByRank[aRank], aExpert);
  std::erase(mHolders[aExpert], aRank);
  AddLoads(aExpert, 1);
  if (!Contains(mCurrent[aRank], aExpert)) {
    --mNewCounts[aRank];
    mBudget.Return(aRank);
  }
}

}
