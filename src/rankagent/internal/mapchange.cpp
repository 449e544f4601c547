#include "rankagent/mapchange.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace beryllever::rankagent {

namespace {

/** Times that a rank is tried in one phase. */
constexpr int kMaxTries = 12;
/** Most ranks of a group. */
constexpr uint64_t kMaxRanks = 1024;
/** Lives of the lead beside a rank that are told apart. */
constexpr uint64_t kLives = 16384;
/** Leads whose passes never meet. A lead waits for its turn in passes, so there
 * are few; only ranks this far apart would have to lead at the same time. */
constexpr uint64_t kStepTurns = 4;

}

uint64_t
TagFor(size_t aRank, uint64_t aRandom)
{
  return aRandom % kLives * kMaxRanks + aRank;
}

uint64_t
VersionAbove(uint64_t aHighest, uint64_t aTag)
{
  constexpr uint64_t kTags = kMaxRanks * kLives;
  return (aHighest / kTags + 1) * kTags + aTag;
}

uint64_t
StepAbove(uint64_t aHighest, size_t aLead)
{
  const uint64_t turn = aLead % kStepTurns;
  const uint64_t step = aHighest / kStepTurns * kStepTurns + turn;
  return step > aHighest ? step : step + kStepTurns;
}

MapChange::MapChange(const ChangePlan& aPlan, std::vector<RankState> aViews)
  : mPlan(aPlan)
  , mViews(std::move(aViews))
  , mProgress(mViews.size())
{
  const bool isHeldHere = mViews[mPlan.mLead].mHeldStep == mPlan.mStep;
  if (mPlan.mIsReleaseOnly) {
    mHasFailedToArm = true;
    mProgress[mPlan.mLead].mIsHeld = true;
    BeginPhase(Phase::Release);
    return;
  }
  if (isHeldHere) {
    BeginPhase(Phase::Clear);
    return;
  }
  Order(mPlan.mLead, RankOperation::Hold, 0);
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
    progress.mTries = 0;
    progress.mIsDone = aPhase == Phase::Release && !progress.mIsHeld;
  }
  for (size_t rank = 0; rank < mProgress.size(); ++rank) {
    if (aPhase == Phase::Arm) {
      Order(rank, RankOperation::Arm, mPlan.mVersion);
    } else if (aPhase == Phase::Clear) {
      Read(rank);
    } else if (mProgress[rank].mIsHeld) {
      Order(rank, RankOperation::Release, 0);
    }
  }
  FinishPhase();
}

void
MapChange::Order(size_t aRank, RankOperation aOperation, uint64_t aVersion)
{
  const bool hasStep = aOperation == RankOperation::Hold ||
                       aOperation == RankOperation::Release ||
                       aOperation == RankOperation::Arm;
  ++mProgress[aRank].mTries;
  mCommands.push_back({ aRank,
                        false,
                        { .mOperation = aOperation,
                          .mEpoch = mViews[aRank].mEpoch,
                          .mVersion = aVersion,
                          .mStep = hasStep ? mPlan.mStep : 0 } });
}

void
MapChange::Read(size_t aRank)
{
  mCommands.push_back({ aRank, true, {} });
}

void
MapChange::HandleOutcome(size_t aRank, OrderOutcome aOutcome)
{
  if (IsOver()) {
    return;
  }
  const bool isTaken = aOutcome == OrderOutcome::Taken;
  if (!isTaken || mPhase == Phase::Clear) {
    Read(aRank);
    return;
  }
  if (mPhase == Phase::Hold) {
    mProgress[aRank].mIsHeld = true;
    BeginPhase(mPlan.mVersion == 0 ? Phase::Clear : Phase::Arm);
    return;
  }
  Resolve(aRank);
}

void
MapChange::Resolve(size_t aRank)
{
  mProgress[aRank].mIsDone = true;
  FinishPhase();
}

void
MapChange::FinishPhase()
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
MapChange::HandleView(size_t aRank, const std::optional<RankState>& aView)
{
  if (IsOver()) {
    return;
  }
  // In a new epoch the group has formed anew and holds nothing.
  const bool isNewEpoch = aView && aView->mEpoch != mViews[aRank].mEpoch;
  if (isNewEpoch || ++mProgress[aRank].mTries > 2 * kMaxTries) {
    mPhase = Phase::Failed;
    return;
  }
  if (!aView) {
    Read(aRank);
    return;
  }
  mViews[aRank] = *aView;
  switch (mPhase) {
    case Phase::Hold:
      HandleHoldView(*aView);
      return;
    case Phase::Arm:
      HandleArmView(aRank, *aView);
      return;
    case Phase::Clear:
      HandleClearView(aRank, *aView);
      return;
    case Phase::Release:
      HandleReleaseView(aRank, *aView);
      return;
    default:
      return;
  }
}

void
MapChange::HandleHoldView(const RankState& aView)
{
  if (aView.mHeldStep == mPlan.mStep) {
    HandleOutcome(mPlan.mLead, OrderOutcome::Taken);
    return;
  }
  if (aView.mHeldStep == 0 && aView.mStep < mPlan.mStep) {
    Order(mPlan.mLead, RankOperation::Hold, 0);
    return;
  }
  // The pass has begun. Nothing was armed for it by this lead.
  mPhase = Phase::Cleared;
}

void
MapChange::HandleArmView(size_t aRank, const RankState& aView)
{
  const bool isArmed =
    aView.mArmedVersion == mPlan.mVersion && aView.mArmedStep == mPlan.mStep;
  const bool mayArm =
    aView.mArmedVersion == 0 && aView.mPreparedVersion == mPlan.mVersion &&
    aView.mStep < mPlan.mStep && mProgress[aRank].mTries < kMaxTries;
  if (!isArmed && mayArm) {
    Order(aRank, RankOperation::Arm, mPlan.mVersion);
    return;
  }
  mHasFailedToArm = mHasFailedToArm || !isArmed;
  Resolve(aRank);
}

bool
MapChange::IsCleared(const RankState& aView)
{
  if (aView.mArmedVersion != 0) {
    // Armed by another lead, for a pass that it holds.
    return mPlan.mVersion != 0 ? aView.mArmedVersion != mPlan.mVersion
                               : aView.mArmedStep != mPlan.mStep;
  }
  // Versions only grow, so one that has been replaced cannot be armed.
  return mPlan.mVersion != 0 ? aView.mPreparedVersion != mPlan.mVersion
                             : aView.mPreparedVersion == mPlan.mSpareVersion;
}

void
MapChange::HandleClearView(size_t aRank, const RankState& aView)
{
  const bool isOwn = aRank == mPlan.mLead;
  mProgress[aRank].mIsHeld =
    aView.mHeldStep == mPlan.mStep && (isOwn || mPlan.mVersion == 0);
  if (IsCleared(aView)) {
    Resolve(aRank);
    return;
  }
  if (aView.mArmedVersion != 0) {
    Order(aRank, RankOperation::Disarm, aView.mArmedVersion);
    return;
  }
  if (aView.mPreparedVersion > mPlan.mSpareVersion) {
    mPlan.mSpareVersion = VersionAbove(aView.mPreparedVersion, mPlan.mTag);
  }
  Order(aRank, RankOperation::Prepare, mPlan.mSpareVersion);
}

void
MapChange::HandleReleaseView(size_t aRank, const RankState& aView)
{
  if (aView.mHeldStep != mPlan.mStep) {
    Resolve(aRank);
    return;
  }
  Order(aRank, RankOperation::Release, 0);
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
  std::ostringstream text;
  text << static_cast<int>(mPhase) << ',' << mPlan.mVersion << ','
       << mPlan.mStep << ',' << mPlan.mSpareVersion << ',' << mHasFailedToArm;
  for (const Progress& progress : mProgress) {
    text << ';' << progress.mIsDone << progress.mIsHeld;
  }
  return text.str();
}

}
