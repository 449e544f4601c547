#pragma once

#include "framework/global/iclock.h"
#include "framework/metrics/metrics.h"
#include "published/publishedtypes.h"
#include "rankagent/internal/changerunner.h"
#include "rankagent/internal/groupsampler.h"
#include "rankagent/internal/mapplanner.h"

#include <QTimer>
#include <map>
#include <set>

namespace beryllever::rankagent {

using std::chrono::milliseconds;

/**
 * Changes the expert map of a group: reads the expert selection counts, plans a
 * better map, has the ranks prepare it and switches them. Runs in the agent of
 * every rank; the lowest eligible rank leads (see IsLeader). Leaders may fail
 * and two may be active at a time; MapChange still keeps all ranks on the same
 * map.
 *
 * A pass is a forward pass that all ranks of the group start together; a step
 * is the number of a pass.
 */
class GroupLeader
{
public:
  GroupLeader(const global::IClock& aClock,
              IGroupPort& aPort,
              metrics::Metrics& aMetrics);

  void Start();
  void Stop();
  /** Begins no further change; one that has begun goes on. */
  void BeginStop() { mIsStopping = true; }
  /** Whether no change is being carried out. */
  bool IsIdle() const { return !mRunner.IsRunning(); }
  /** Whether this process may start new changes, rather than only clear old
   * ones.
   */
  bool MayLead() const { return mMayLead && !mIsStopping; }
  /** Whether the group has requests but has started no pass for the given time.
   */
  bool IsStalledFor(milliseconds aTime) const;
  /** Updates the state of the local rank. */
  void SetRank(const RankState& aState);
  /** Updates the published profile of the group's engines. */
  void SetEngine(const published::EngineProfile& aEngine);

private:
  bool IsLeader() const;
  bool IsLowestLiveRank() const;
  /** Number of live eligible leaders of lower rank, which take precedence. */
  size_t CountPrecedingLeaders() const;
  /** Whether the group is stalled and this is the second leader in line, which
   * then clears a hold that the first one has left behind, but plans nothing.
   */
  bool IsStandbyNeeded() const;
  void Tick();
  void FinishRound();
  /** Whether the local rank still belongs to the group that was read. Only if
   * all ranks were read. */
  bool IsRoundOfOwnGroup() const;
  void AbandonMap(const std::string& aReason);
  /** Interval between sampling rounds, depending on the size of the group. */
  milliseconds RoundInterval() const;
  /** Interval between reads of the selection counts. */
  milliseconds CountInterval() const;
  int GroupSize() const;
  void UpdateInterval();
  /** Notes which ranks can be read again after they could not. */
  void UpdateReadableRanks();
  bool HandleHold();
  /** Notes the ranks that hold the pass. */
  void UpdateHolders(uint64_t aStep);
  /** When the hold of the pass counts as abandoned, unless its owner acts. */
  global::TimePoint AbandonedTime(uint64_t aStep) const;
  /** Number of live eligible leaders of lower rank that hold no pass, which
   * clear a hold first. */
  size_t CountPrecedingClearers() const;
  void ContinuePreparing();
  void Plan();
  size_t ExpertLayers() const;
  std::vector<double> RankSlowdowns() const;
  /** Logs, once until the next change, that no better map is found. */
  void LogSettled(const MapPlan& aPlan);
  RankOrder PrepareOrder() const;
  void SendPrepare(uint32_t aRank);
  void HandlePrepareOutcome(uint64_t aVersion,
                            uint32_t aRank,
                            OrderOutcome aOutcome);
  uint64_t NextVersion();

  uint64_t HeldStep() const;
  void BeginChange(ChangePlan aPlan);
  /** Returns a pass that has not started and that this leader has not used. */
  uint64_t NextStep() const;
  void EndChange(const MapChange& aChange);

  const global::IClock& mClock;
  IGroupPort& mPort;
  GroupSampler mSampler;
  metrics::Metrics& mMetrics;
  ChangeRunner mRunner;
  std::optional<RankState> mLocalRank;
  global::TimePoint mEligibleTime;
  uint64_t mEligibleStep = 0;
  /** Distinguishes this run of the process from earlier ones. */
  const uint64_t mIncarnation;
  bool mMayLead = false;
  bool mIsStopping = false;
  global::TimePoint mEligibleSince{};
  std::optional<published::EngineProfile> mEngine;
  QTimer mTimer;

  std::optional<DemandTracker> mDemand;

  uint64_t mPreparingVersion = 0;
  uint64_t mPreparingEpoch = 0;
  ExpertMap mPreparingMap;
  global::TimePoint mPreparingSince{};
  global::TimePoint mPrepareDeadline{};
  global::TimePoint mPrepareRetryTime{};
  /** Ranks whose last order to prepare was not answered. */
  std::set<uint32_t> mUnansweredRanks;
  uint64_t mHighestVersion = 0;
  /** Highest pass that this leader has used in a change. */
  uint64_t mHighestUsedStep = 0;
  uint64_t mChangeStep = 0;
  /** Passes that this leader has released, or may have released, and that have
   * not begun. */
  std::set<uint64_t> mReleasedSteps;
  uint64_t mObservedHeldStep = 0;
  global::TimePoint mHeldSince{};
  /** Ranks that hold mObservedHeldStep, and since when they can act: the time
   * at which they were read again after they could not be, or at which another
   * leader was seen to clear the hold. */
  std::map<uint32_t, global::TimePoint> mHolders;
  std::set<uint32_t> mUnreadableRanks;
  /** Ranks that could not be read, and when they were read again. */
  std::map<uint32_t, global::TimePoint> mReadableSince;
  /** When the local rank was first seen in its current pass. */
  global::TimePoint mStepSince{};
  global::TimePoint mNextPlanTime{};
  global::TimePoint mNextCountTime{};
  /** The last plan was not worth a change. */
  bool mIsSettled = false;
};

}
