#pragma once

#include "framework/global/iclock.h"
#include "framework/metrics/metrics.h"
#include "published/publishedtypes.h"
#include "rankagent/internal/demandtracker.h"

#include <QTimer>
#include <set>

namespace beryllever::rankagent {

using std::chrono::milliseconds;

/**
 * Leads the changes of a group's expert map, in the agent of the lowest live
 * rank: reads what experts are chosen, plans a better map, lets the ranks
 * prepare it and switches them. Leads may come and go and two may be at work;
 * MapChange keeps the ranks on one map all the same.
 */
class GroupLeader
{
public:
  GroupLeader(const global::IClock& aClock,
              IGroupPort& aPort,
              metrics::Metrics& aMetrics);

  void Start();
  void Stop();
  /** Whether this process may begin changes, other than clear old ones. */
  bool MayLead() const { return mMayLead; }
  /** Whether the own rank's group has begun no pass for a time though it has
   * requests. */
  bool HasStoodStill(milliseconds aTime) const;
  /** What this process knows of its own rank and its engines. */
  void SetRank(const RankState& aState);
  void SetEngine(const published::EngineProfile& aEngine);

private:
  bool IsLead() const;
  bool IsLowestLive() const;
  /** Live leads that go before this one. */
  size_t LeadsBefore() const;
  /** Whether the group stands still and this is the next lead: it clears a hold
   * that the first one has left, but plans nothing. */
  bool IsDeputyNeeded() const;
  void Tick();
  void BeginRound();
  void TakeSample(uint64_t aRound,
                  size_t aRank,
                  std::optional<RankSample> aSample);
  void FinishRound();
  /** Logs that ranks can no longer be read, or can again. */
  void NoteUnread();
  /** Whether all ranks were read, in one group, epoch and open. */
  bool IsConsistent() const;
  /** Whether the ranks that were read contradict each other or the change that
   * is being prepared. */
  bool HasGroupChanged() const;
  void GiveUpMap(const std::string& aReason);
  /** Time between two readings of the group, as its size and state allow. */
  milliseconds RoundInterval() const;
  void UpdateInterval();
  bool HandleHold();
  void ContinuePreparing();
  void Plan();
  ExpertMap CurrentMap() const;
  ExpertMap PlanMap(const ExpertMap& aCurrent,
                    double& aBefore,
                    double& aAfter) const;
  void SendPrepare(size_t aRank);
  uint64_t NextVersion();

  uint64_t HeldStep() const;
  void BeginChange(ChangePlan aPlan);
  /** A pass that this lead has never named before and that has not begun. */
  uint64_t NextStep() const;
  void Pump();
  void SendCommand(const RankCommand& aCommand);
  void EndChange();

  const global::IClock& mClock;
  IGroupPort& mPort;
  metrics::Metrics& mMetrics;
  std::optional<RankState> mOwn;
  global::TimePoint mLeadsFrom;
  uint64_t mLeadsFromStep = 0;
  /** Tells this life of the process from others. */
  const uint64_t mLife;
  bool mMayLead = false;
  global::TimePoint mMayLeadSince{};
  std::optional<published::EngineProfile> mEngine;
  QTimer mTimer;

  uint64_t mRound = 0;
  size_t mAwaited = 0;
  bool mIsReading = false;
  std::vector<std::optional<RankSample>> mSamples;
  /** Ranks that the last round could not read. */
  size_t mUnread = 0;

  std::optional<DemandTracker> mDemand;

  uint64_t mPreparing = 0;
  uint64_t mPreparingEpoch = 0;
  ExpertMap mPreparingMap;
  global::TimePoint mPrepareDeadline{};
  global::TimePoint mPrepareAgain{};
  /** Ranks that have not answered the order to prepare. */
  std::set<size_t> mUnanswered;
  uint64_t mHighestVersion = 0;
  /** Highest pass that this lead has named. */
  uint64_t mLastStep = 0;
  uint64_t mChangeStep = 0;
  /** Pass that this lead has let go, or may have. */
  uint64_t mReleasedStep = 0;
  uint64_t mHeldSeen = 0;
  global::TimePoint mHeldSince{};
  /** When the own rank's present pass was first seen. */
  global::TimePoint mStepSince{};
  global::TimePoint mNextPlan{};

  std::optional<MapChange> mChange;
  uint64_t mChangeId = 0;
  global::TimePoint mChangeBegan{};
};

}
