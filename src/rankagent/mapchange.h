#pragma once

#include "rankagent/ranktypes.h"

#include <optional>
#include <string>
#include <vector>

namespace beryllever::rankagent {

/** Result of an order to a rank. */
enum class OrderOutcome
{
  Accepted,
  Refused,
  /** No answer. The order may have been executed, or may be executed later. */
  Unknown,
};

/** Parameters of a map change. */
struct ChangePlan
{
  /** Rank of the leader; the only rank on which it places a hold. */
  size_t mLeaderRank = 0;
  /** Tag of this incarnation of the leader, see MakeLeaderTag(). */
  uint64_t mLeaderTag = 0;
  /** Version of the map that all ranks have prepared; 0 to only clear what
   * another leader has left behind at mStep. */
  uint64_t mVersion = 0;
  /** First forward pass that uses the map, or the held pass to clear. */
  uint64_t mStep = 0;
  /** This leader has already released the pass but still holds it, because the
   * release or a duplicate hold was delayed. */
  bool mIsReleaseOnly = false;
  /** Version that supersedes a prepared one that must not be used. */
  uint64_t mSupersedingVersion = 0;
};

/** Order or state query to send to a rank. */
struct RankCommand
{
  size_t mRank = 0;
  bool mIsRead = false;
  /** For Prepare, the caller fills in the map that is in use. */
  RankOrder mOrder;
};

/** Returns the tag of one leader incarnation at a rank, from a random number.
 */
uint64_t
MakeLeaderTag(size_t aRank, uint64_t aRandom);

/** Returns the next map version of a leader. Versions of different leader
 * incarnations never coincide. */
uint64_t
VersionAbove(uint64_t aHighest, uint64_t aTag);

/**
 * State machine that switches the ranks of a group to a prepared map, or clears
 * a switch that another leader has begun. Orders may stay unanswered and be
 * executed later, and several leaders may be active. Three rules keep all ranks
 * on the same map in every pass:
 *
 * - A leader arms a pass only while its own rank holds that pass. It releases
 *   the pass only after all ranks are armed with the same map, or none is armed
 *   and none can become armed.
 * - A rank arms only the version that it has prepared, and versions only
 *   increase. Preparing another version invalidates every outstanding order to
 *   arm the old one.
 * - A leader places a hold only on its own rank. It releases another rank only
 *   after it has cleared all ranks under its own hold, so no other leader can
 *   start a pass during the clearing. The start of a pass invalidates all
 *   orders for it.
 *
 * Whether an order was executed is read from the rank, never inferred. A state
 * that may lag clears a rank only if what it shows stays true. The class does
 * no I/O: the caller sends the commands and passes in the answers.
 */
class MapChange
{
public:
  /** aStates holds the state of every rank, by rank. */
  MapChange(const ChangePlan& aPlan, std::vector<RankState> aStates);

  /** Returns the commands that have become due. The caller passes in exactly
   * one answer for each. */
  std::vector<RankCommand> TakeCommands();
  void HandleState(size_t aRank, const std::optional<RankState>& aState);
  void HandleOutcome(size_t aRank, OrderOutcome aOutcome);

  bool IsOver() const;
  /** Whether the new map is armed on all ranks and the leader holds no pass. */
  bool HasSucceeded() const { return mPhase == Phase::Succeeded; }
  /** Whether a release of the pass may have been sent. */
  bool HasBegunRelease() const { return mHasBegunRelease; }
  /** Highest version that this change has given to the map in use. */
  uint64_t SupersedingVersion() const { return mPlan.mSupersedingVersion; }
  std::string_view PhaseName() const;
  /** Equal for equal states; retry counts are not compared. */
  std::string Fingerprint() const;

private:
  enum class Phase
  {
    Hold,
    Arm,
    Clear,
    Release,
    Succeeded,
    /** Nothing of this change is left on any rank. */
    Cleared,
    /** A rank was unreachable or its group has re-formed; a hold may be left
     * behind. */
    Failed,
  };

  struct Progress
  {
    bool mIsDone = false;
    int mAttempts = 0;
    /** The rank holds mStep and has to be released. */
    bool mIsHeld = false;
  };

  void BeginPhase(Phase aPhase);
  void QueueOrder(size_t aRank, RankOperation aOperation, uint64_t aVersion);
  void QueueRead(size_t aRank);
  void MarkDone(size_t aRank);
  void AdvancePhase();
  /** Whether the rank is armed for the switch that this change clears. */
  bool IsOwnSwitch(const RankState& aState) const;
  /** Whether the rank neither takes part in the switch nor can still be armed
   * for it. */
  bool IsCleared(const RankState& aState) const;
  void HandleHoldState(const RankState& aState);
  void HandleArmState(size_t aRank, const RankState& aState);
  void HandleClearState(size_t aRank, const RankState& aState);
  void HandleReleaseState(size_t aRank, const RankState& aState);

  ChangePlan mPlan;
  std::vector<RankState> mRankStates;
  std::vector<Progress> mProgress;
  std::vector<RankCommand> mCommands;
  Phase mPhase = Phase::Hold;
  bool mHasFailedToArm = false;
  bool mHasBegunRelease = false;
};

}
