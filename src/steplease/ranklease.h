#pragma once

#include "steplease/stepleasetypes.h"

namespace beryllever::steplease {

/**
 * What one rank has promised and been granted. The rank runs a step only with a
 * map from here. Orders for another incarnation of its agent are refused, since
 * that one may have promised what this one does not know.
 */
class RankLease
{
public:
  /** Starts with the schedule that the engine holds. */
  RankLease(int aRank,
            size_t aRanks,
            uint64_t aIncarnation,
            Schedule aSchedule);

  PromiseReply TakePromise(const PromiseRequest& aRequest);
  /** Returns whether the schedule is now in force. */
  bool TakeGrant(const GrantRequest& aRequest);

  uint64_t Incarnation() const { return mIncarnation; }
  const Epoch& Promised() const { return mPromised; }
  const Schedule& Granted() const { return mSchedule; }
  const Incarnations& Known() const { return mKnown; }
  /** Forgets steps that the group has left behind. */
  void TrimBefore(Step aStep) { mSchedule.TrimBefore(aStep); }

  // Version 14 of the linter takes the defaulted comparison for a literal zero.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const RankLease&) const = default;

private:
  bool IsOutdated(const Incarnations& aIncarnations) const;

  int mRank;
  uint64_t mIncarnation;
  Epoch mPromised;
  /** Newest incarnations that a lead has aimed at. */
  Incarnations mKnown;
  Schedule mSchedule;
};

}
