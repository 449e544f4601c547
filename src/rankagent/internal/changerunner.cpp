#include "rankagent/internal/changerunner.h"

#include "framework/log/log.h"

#include <chrono>
#include <utility>

namespace beryllever::rankagent {

namespace {

constexpr char kLogTag[] = "group";

}

ChangeRunner::ChangeRunner(const global::IClock& aClock,
                           IGroupPort& aPort,
                           metrics::Metrics& aMetrics,
                           CurrentMap aCurrentMap)
  : mClock(aClock)
  , mPort(aPort)
  , mMetrics(aMetrics)
  , mCurrentMap(std::move(aCurrentMap))
{
}

void
ChangeRunner::Begin(const ChangePlan& aPlan,
                    std::vector<RankState> aStates,
                    OnEnd aOnEnd)
{
  mPlan = aPlan;
  mGroup = aStates[aPlan.mLeaderRank].mGroup;
  mOnEnd = std::move(aOnEnd);
  mStart = mClock.Now();
  ++mChangeId;
  mChange.emplace(aPlan, std::move(aStates));
  SendDueCommands();
}

void
ChangeRunner::SendDueCommands()
{
  for (const RankCommand& command : mChange->TakeCommands()) {
    if (command.mIsRead) {
      Read(command.mRank);
    } else {
      Order(command.mRank, command.mOrder);
    }
  }
  if (mChange->IsOver()) {
    End();
  }
}

void
ChangeRunner::Read(size_t aRank)
{
  mPort.Sample(
    static_cast<uint32_t>(aRank),
    SampleDepth::State,
    [this, id = mChangeId, aRank](const std::optional<RankSample>& aSample) {
      if (!mChange || id != mChangeId) {
        return;
      }
      LogRead(aRank, aSample);
      mChange->HandleState(
        aRank, aSample ? std::optional(aSample->mState) : std::nullopt);
      SendDueCommands();
    });
}

void
ChangeRunner::Order(size_t aRank, RankOrder aOrder)
{
  if (aOrder.mOperation == RankOperation::Prepare) {
    aOrder.mMap = mCurrentMap();
  }
  mPort.Order(static_cast<uint32_t>(aRank),
              aOrder,
              [this, id = mChangeId, aRank](OrderOutcome aOutcome) {
                if (!mChange || id != mChangeId) {
                  return;
                }
                mChange->HandleOutcome(aRank, aOutcome);
                SendDueCommands();
              });
}

void
ChangeRunner::LogRead(size_t aRank,
                      const std::optional<RankSample>& aSample) const
{
  if (!aSample) {
    LOGI("A rank cannot be read during a change. rank="
         << aRank << " change=" << mPlan.mStep
         << " phase=" << mChange->PhaseName());
    return;
  }
  const RankState& state = aSample->mState;
  LOGI("A rank is read during a change. rank="
       << aRank << " change=" << mPlan.mStep
       << " phase=" << mChange->PhaseName() << " group=" << state.mGroup
       << " epoch=" << state.mEpoch << " reportedRank=" << state.mRank
       << " step=" << state.mStep << " map=" << state.mMapVersion
       << " prepared=" << state.mPreparedVersion
       << " armed=" << state.mArmedVersion << " armedStep=" << state.mArmedStep
       << " held=" << state.mHeldStep << " mayLag=" << state.mMayLag);
}

void
ChangeRunner::End()
{
  const MapChange change = *std::exchange(mChange, std::nullopt);
  const auto elapsed =
    std::chrono::duration_cast<std::chrono::milliseconds>(mClock.Now() - mStart)
      .count();
  const bool isDone = change.HasSucceeded();
  LOGI("Change of the expert map "
       << (isDone ? "is armed" : "has failed") << ". group=" << mGroup
       << " version=" << mPlan.mVersion << " step=" << mPlan.mStep
       << " end=" << change.PhaseName() << " milliseconds=" << elapsed);
  mMetrics.Count("beryllever_map_changes",
                 { { "outcome", isDone ? "armed" : "failed" } });
  mMetrics.Sample("beryllever_map_change_milliseconds",
                  static_cast<double>(elapsed));
  const OnEnd onEnd = std::exchange(mOnEnd, nullptr);
  onEnd(change);
}

}
