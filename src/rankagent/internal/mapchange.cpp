#include "rankagent/mapchange.h"

#include <algorithm>
#include <utility>

namespace beryllever::rankagent {

namespace {

/** Limit on attempts per rank in one phase. Orders and state queries both
 * count, so a phase fails at twice this number. */
constexpr int kMaxAttempts = 12;
/** Largest number of ranks in a group. */
constexpr uint64_t kMaxRanks = 1024;
/** Number of distinct leader incarnations per rank. */
constexpr uint64_t kIncarnations = 16384;

/** Highest version that the rank is seen to have had. */
uint64_t
HighestVersion(const RankState& aState)
{
  return std::max(
    { aState.mMapVersion, aState.mPreparedVersion, aState.mArmedVersion });
}

}

uint64_t
MakeLeaderTag(size_t aRank, uint64_t aRandom)
{
  return aRandom % kIncarnations * kMaxRanks + aRank;
}

uint64_t
VersionAbove(uint64_t aHighest, uint64_t aTag)
{
  constexpr uint64_t kTags = kMaxRanks * kIncarnations;
  return (aHighest / kTags + 1) * kTags + aTag;
}

MapChange::MapChange(const ChangePlan& aPlan, std::vector<RankState> aStates)
  : mPlan(aPlan)
  , mRankStates(std::move(aStates))
  , mProgress(mRankStates.size())
{
  const bool isHeldHere =
    mRankStates[mPlan.mLeaderRank].mHeldStep == mPlan.mStep;
  if (mPlan.mIsReleaseOnly) {
    mHasFailedToArm = true;
    mProgress[mPlan.mLeaderRank].mIsHeld = true;
    BeginPhase(Phase::Release);
    return;
  }
  if (isHeldHere) {
    BeginPhase(Phase::Clear);
    return;
  }
  QueueOrder(mPlan.mLeaderRank, RankOperation::Hold, 0);
}

std::vector<RankCommand>
MapChange::TakeCommands()
{
  return std::exchange(mCommands, {});
}

bool
MapChange::IsOver() const
{
  return mPhase == Phase::Succeeded || mPhase == Phase::Cleared ||
         mPhase == Phase::Failed;
}

void
MapChange::BeginPhase(Phase aPhase)
{
  mPhase = aPhase;
  mHasBegunRelease = mHasBegunRelease || aPhase == Phase::Release;
  for (size_t rank = 0; rank < mProgress.size(); ++rank) {
    Progress& progress = mProgress[rank];
    progress.mAttempts = 0;
    progress.mIsDone = aPhase == Phase::Release && !progress.mIsHeld;
  }
  for (size_t rank = 0; rank < mProgress.size(); ++rank) {
    if (aPhase == Phase::Arm) {
      QueueOrder(rank, RankOperation::Arm, mPlan.mVersion);
    } else if (aPhase == Phase::Clear) {
      QueueRead(rank);
    } else if (mProgress[rank].mIsHeld) {
      QueueOrder(rank, RankOperation::Release, 0);
    }
  }
  AdvancePhase();
}

void
MapChange::QueueOrder(size_t aRank, RankOperation aOperation, uint64_t aVersion)
{
  const bool hasStep = aOperation == RankOperation::Hold ||
                       aOperation == RankOperation::Release ||
                       aOperation == RankOperation::Arm;
  ++mProgress[aRank].mAttempts;
  mCommands.push_back({ aRank,
                        false,
                        { .mOperation = aOperation,
                          .mEpoch = mRankStates[aRank].mEpoch,
                          .mVersion = aVersion,
                          .mStep = hasStep ? mPlan.mStep : 0 } });
}

void
MapChange::QueueRead(size_t aRank)
{
  mCommands.push_back({ aRank, true, {} });
}

void
MapChange::HandleOutcome(size_t aRank, OrderOutcome aOutcome)
{
  if (IsOver()) {
    return;
  }
  const bool isTaken = aOutcome == OrderOutcome::Accepted;
  if (!isTaken || mPhase == Phase::Clear) {
    QueueRead(aRank);
    return;
  }
  if (mPhase == Phase::Hold) {
    mProgress[aRank].mIsHeld = true;
    BeginPhase(mPlan.mVersion == 0 ? Phase::Clear : Phase::Arm);
    return;
  }
  MarkDone(aRank);
}

void
MapChange::MarkDone(size_t aRank)
{
  mProgress[aRank].mIsDone = true;
  AdvancePhase();
}

void
MapChange::AdvancePhase()
{
  const bool isDone =
    std::all_of(mProgress.begin(), mProgress.end(), [](const auto& aProgress) {
      return aProgress.mIsDone;
    });
  if (!isDone) {
    return;
  }
  switch (mPhase) {
    case Phase::Arm:
      BeginPhase(mHasFailedToArm ? Phase::Clear : Phase::Release);
      return;
    case Phase::Clear:
      mHasFailedToArm = true;
      BeginPhase(Phase::Release);
      return;
    case Phase::Release:
      mPhase = mPlan.mVersion != 0 && !mHasFailedToArm ? Phase::Succeeded
                                                       : Phase::Cleared;
      return;
    default:
      return;
  }
}

void
MapChange::HandleState(size_t aRank, const std::optional<RankState>& aState)
{
  if (IsOver()) {
    return;
  }
  // In a new epoch the group has re-formed and holds nothing.
  const RankState& known = mRankStates[aRank];
  const bool isNewEpoch = aState && (aState->mGroup != known.mGroup ||
                                     aState->mEpoch != known.mEpoch);
  if (isNewEpoch || ++mProgress[aRank].mAttempts > 2 * kMaxAttempts) {
    mPhase = Phase::Failed;
    return;
  }
  // A read can reach another rank after the group has re-formed.
  if (!aState || aState->mRank != aRank) {
    QueueRead(aRank);
    return;
  }
  mRankStates[aRank] = *aState;
  switch (mPhase) {
    case Phase::Hold:
      HandleHoldState(*aState);
      return;
    case Phase::Arm:
      HandleArmState(aRank, *aState);
      return;
    case Phase::Clear:
      HandleClearState(aRank, *aState);
      return;
    case Phase::Release:
      HandleReleaseState(aRank, *aState);
      return;
    default:
      return;
  }
}

void
MapChange::HandleHoldState(const RankState& aState)
{
  if (aState.mHeldStep == mPlan.mStep) {
    HandleOutcome(mPlan.mLeaderRank, OrderOutcome::Accepted);
    return;
  }
  if (aState.mHeldStep == 0 && aState.mStep < mPlan.mStep) {
    QueueOrder(mPlan.mLeaderRank, RankOperation::Hold, 0);
    return;
  }
  // The pass has started. This leader has armed nothing for it.
  mPhase = Phase::Cleared;
}

void
MapChange::HandleArmState(size_t aRank, const RankState& aState)
{
  const bool isArmed =
    aState.mArmedVersion == mPlan.mVersion && aState.mArmedStep == mPlan.mStep;
  const bool mayArm =
    aState.mArmedVersion == 0 && aState.mPreparedVersion == mPlan.mVersion &&
    aState.mStep < mPlan.mStep && mProgress[aRank].mAttempts < kMaxAttempts;
  if (!isArmed && mayArm) {
    QueueOrder(aRank, RankOperation::Arm, mPlan.mVersion);
    return;
  }
  mHasFailedToArm = mHasFailedToArm || !isArmed;
  MarkDone(aRank);
}

bool
MapChange::IsOwnSwitch(const RankState& aState) const
{
  return mPlan.mVersion != 0 ? aState.mArmedVersion == mPlan.mVersion
                             : aState.mArmedStep == mPlan.mStep;
}

bool
MapChange::IsCleared(const RankState& aState) const
{
  if (aState.mArmedVersion != 0 && IsOwnSwitch(aState)) {
    return false;
  }
  // Versions only increase, so a superseded version can no longer be armed. A
  // state that may lag proves nothing else: the rank can have prepared and
  // armed the map since.
  if (mPlan.mVersion != 0 && HighestVersion(aState) > mPlan.mVersion) {
    return true;
  }
  if (aState.mArmedVersion != 0) {
    // Armed by another leader, for a pass that it holds.
    return !aState.mMayLag;
  }
  return aState.mPreparedVersion == mPlan.mSupersedingVersion;
}

void
MapChange::HandleClearState(size_t aRank, const RankState& aState)
{
  const bool isOwn = aRank == mPlan.mLeaderRank;
  mProgress[aRank].mIsHeld =
    aState.mHeldStep == mPlan.mStep && (isOwn || mPlan.mVersion == 0);
  if (IsCleared(aState)) {
    MarkDone(aRank);
    return;
  }
  if (aState.mArmedVersion != 0) {
    if (IsOwnSwitch(aState)) {
      QueueOrder(aRank, RankOperation::Disarm, aState.mArmedVersion);
    } else {
      QueueRead(aRank);
    }
    return;
  }
  if (aState.mPreparedVersion > mPlan.mSupersedingVersion) {
    mPlan.mSupersedingVersion =
      VersionAbove(aState.mPreparedVersion, mPlan.mLeaderTag);
  }
  QueueOrder(aRank, RankOperation::Prepare, mPlan.mSupersedingVersion);
}

void
MapChange::HandleReleaseState(size_t aRank, const RankState& aState)
{
  if (aState.mHeldStep != mPlan.mStep) {
    MarkDone(aRank);
    return;
  }
  QueueOrder(aRank, RankOperation::Release, 0);
}

std::string_view
MapChange::PhaseName() const
{
  constexpr std::string_view kNames[] = { "hold",    "arm",       "clear",
                                          "release", "succeeded", "cleared",
                                          "failed" };
  return kNames[static_cast<size_t>(mPhase)];
}

std::string
MapChange::Fingerprint() const
{
  std::string text;
  const auto append = [&text](uint64_t aNumber) {
    text += std::to_string(aNumber);
    text += ',';
  };
  append(static_cast<uint64_t>(mPhase));
  append(mPlan.mVersion);
  append(mPlan.mStep);
  append(mPlan.mSupersedingVersion);
  append(mHasFailedToArm);
  for (const Progress& progress : mProgress) {
    append(progress.mIsDone);
    append(progress.mIsHeld);
  }
  return text;
}

}
