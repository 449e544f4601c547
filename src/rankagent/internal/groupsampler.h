#pragma once

#include "rankagent/internal/groupport.h"

#include <optional>

namespace beryllever::rankagent {

/** Reads samples of all ranks of a group, round by round. */
class GroupSampler
{
public:
  using Samples = std::vector<std::optional<RankSample>>;

  explicit GroupSampler(IGroupPort& aPort);

  /** Reads all ranks, and the selection counts of some of them if aWantsCounts
   * is set. Calls aOnEnd when each rank has been read or has failed. */
  void BeginRound(size_t aRanks,
                  bool aWantsCounts,
                  std::function<void()> aOnEnd);
  bool IsReading() const { return mIsReading; }
  /** Samples of the last round, by rank; nullopt if a rank was not readable. */
  const Samples& All() const { return mSamples; }
  /** State of a rank; only if all ranks were read. */
  const RankState& State(size_t aRank) const { return mSamples[aRank]->mState; }

  /** Whether all ranks were read, are open, and belong to the same group, epoch
   * and size. */
  bool IsConsistent() const;
  /** Whether a rank that was read is not open, or belongs to another group or
   * epoch than given. */
  bool HasGroupChanged(const std::string& aGroup, uint64_t aEpoch) const;
  /** Whether a map is armed, or the ranks use different ones because they were
   * read before and after a switch. Only if all ranks were read. */
  bool IsSwitching() const;
  /** Highest map version on any rank. Only if all ranks were read. */
  uint64_t HighestVersion() const;
  /** Experts of all ranks in the current map; empty if a rank did not tell its
   * own. Only if all ranks were read. */
  ExpertMap CurrentMap(size_t aLayers) const;

private:
  void HandleSample(uint64_t aRound,
                    size_t aRank,
                    std::optional<RankSample> aSample);
  /** Logs when ranks become unreadable and when all are readable again. */
  void UpdateUnreadableRanks();

  IGroupPort& mPort;
  uint64_t mRound = 0;
  size_t mPending = 0;
  bool mIsReading = false;
  std::function<void()> mOnEnd;
  Samples mSamples;
  /** Number of unreadable ranks when last logged. */
  size_t mUnreadableRanks = 0;
};

}
