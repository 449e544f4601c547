#pragma once

#include "rankagent/ranktypes.h"

#include <optional>
#include <string>
#include <vector>

namespace beryllever::rankagent {

/** What became of an order. */
enum class OrderOutcome
{
  Taken,
  Refused,
  /** No answer: it may have been carried out, or may be later. */
  Unknown,
};

/** What the ranks are to do in a change of maps. */
struct ChangePlan
{
  /** Rank beside which the lead runs; the only one that it holds. */
  size_t mLead = 0;
  /** Tag of this life of the lead. */
  uint64_t mTag = 0;
  /** Map that all ranks have prepared; 0 to only clear what another lead has
   * left behind at mStep. */
  uint64_t mVersion = 0;
  /** Pass from which the map is used, or that is held. */
  uint64_t mStep = 0;
  /** This lead has let the pass go before and still holds it: the order to let
   * it go, or an order to hold it, came late. */
  bool mIsReleaseOnly = false;
  /** Version that takes the place of a prepared one that is not to be used. */
  uint64_t mSpareVersion = 0;
};

/** Something to send to a rank. */
struct RankCommand
{
  size_t mRank = 0;
  bool mIsRead = false;
  /** Without the map of a Prepare, which the caller fills in with the map in
   * use. */
  RankOrder mOrder;
};

/** Tag of one life of the lead beside a rank, from a random number. */
uint64_t
TagFor(size_t aRank, uint64_t aRandom);

/** The next map version of a lead; no two lives of leads use the same. */
uint64_t
VersionAbove(uint64_t aHighest, uint64_t aTag);

/** The next pass that a lead may name; leads that are near in rank never name
 * the same. */
uint64_t
StepAbove(uint64_t aHighest, size_t aLead);

/**
 * Switches the ranks of a group to a prepared map, or clears a switch that
 * another lead has begun. Orders may go unanswered and be carried out later,
 * and several leads may be at work. Three things keep all ranks on one map in
 * every pass:
 *
 * - A lead arms a pass only while its own rank holds that pass, and lets it
 *   begin only once all ranks are armed alike, or none is and none can be.
 * - A rank arms only the version that it has prepared, and versions only grow.
 *   Preparing another one voids every outstanding order to arm the old one.
 * - A lead holds only its own rank. It lets another rank go only after it has
 *   cleared all ranks under a hold of its own, so no other lead can begin a
 *   pass while one clears. A pass that has begun voids all orders that name it.
 *
 * Whether an order was carried out is read from the rank, never inferred.
 * Pure: answers in, commands out.
 */
class MapChange
{
public:
  /** Views of all ranks, in their order. */
  MapChange(const ChangePlan& aPlan, std::vector<RankState> aViews);

  /** Commands that have become due; each is answered once. */
  std::vector<RankCommand> TakeCommands();
  void HandleView(size_t aRank, const std::optional<RankState>& aView);
  void HandleOutcome(size_t aRank, OrderOutcome aOutcome);

  bool IsOver() const;
  /** Whether the new map is armed at all ranks and the lead holds nothing. */
  bool HasSucceeded() const { return mPhase == Phase::Succeeded; }
  /** Whether an order to let the pass go may be on its way. */
  bool HasBegunRelease() const { return mHasBegunRelease; }
  std::string_view PhaseName() const;
  /** Equal text means equal state, but for the tries that are left. */
  std::string Fingerprint() const;

private:
  enum class Phase
  {
    Hold,
    Arm,
    Clear,
    Release,
    Succeeded,
    /** Nothing of this change is left. */
    Cleared,
    /** Something could not be reached; a hold may be left behind. */
    Failed,
  };

  struct Progress
  {
    bool mIsDone = false;
    int mTries = 0;
    /** The rank holds mStep and has to be let go. */
    bool mIsHeld = false;
  };

  void BeginPhase(Phase aPhase);
  void Order(size_t aRank, RankOperation aOperation, uint64_t aVersion);
  void Read(size_t aRank);
  void Resolve(size_t aRank);
  void FinishPhase();
  bool IsCleared(const RankState& aView);
  void HandleHoldView(const RankState& aView);
  void HandleArmView(size_t aRank, const RankState& aView);
  void HandleClearView(size_t aRank, const RankState& aView);
  void HandleReleaseView(size_t aRank, const RankState& aView);

  ChangePlan mPlan;
  std::vector<RankState> mViews;
  std::vector<Progress> mProgress;
  std::vector<RankCommand> mCommands;
  Phase mPhase = Phase::Hold;
  bool mHasFailedToArm = false;
  bool mHasBegunRelease = false;
};

}
