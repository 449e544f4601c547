#pragma once

#include "steplease/stepleasetypes.h"

namespace beryllever::steplease {

/**
 * The promises and the granted schedule of one rank. The rank runs a step only
 * with a map of that schedule. Requests to another incarnation of its agent are
 * refused, since that one may have made promises that this one does not know.
 */
class RankLease
{
public:
  /** Starts with the schedule that the engine holds. */
  RankLease(int aRank,
            size_t aRanks,
            uint64_t aIncarnation,
            Schedule aSchedule);

  PromiseReply HandlePromiseRequest(const PromiseRequest& aRequest);
  /** Returns whether the schedule is now in force. */
  bool HandleGrantRequest(const GrantRequest& aRequest);

  uint64_t Incarnation() const { return mIncarnation; }
  const Epoch& Promised() const { return mPromised; }
  const Schedule& Granted() const { return mSchedule; }
  const Incarnations& KnownIncarnations() const { return mKnownIncarnations; }
  /** Discards steps that the rank has completed. */
  void TrimBefore(Step aStep) { mSchedule.TrimBefore(aStep); }

  // clang-tidy 14 mistakes the defaulted comparison for a literal zero.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const RankLease&) const = default;

private:
  bool IsOutdated(const Incarnations& aIncarnations) const;

  int mRank;
  uint64_t mIncarnation;
  Epoch mPromised;
  /** Newest incarnations that a promised lead has addressed. */
  Incarnations mKnownIncarnations;
  Schedule mSchedule;
};

}
