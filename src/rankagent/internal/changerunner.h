#pragma once

#include "framework/global/iclock.h"
#include "framework/metrics/metrics.h"
#include "rankagent/internal/groupport.h"

namespace beryllever::rankagent {

/** Carries out map changes, one at a time: sends the commands of a MapChange to
 * the ranks and passes in their answers. */
class ChangeRunner
{
public:
  using CurrentMap = std::function<ExpertMap()>;
  using OnEnd = std::function<void(const MapChange&)>;

  /** aCurrentMap returns the map in use when a change began. */
  ChangeRunner(const global::IClock& aClock,
               IGroupPort& aPort,
               metrics::Metrics& aMetrics,
               CurrentMap aCurrentMap);

  bool IsRunning() const { return mChange.has_value(); }
  /** Begins a change; none may be running. aStates holds the state of every
   * rank, by rank. */
  void Begin(const ChangePlan& aPlan,
             std::vector<RankState> aStates,
             OnEnd aOnEnd);

private:
  void SendDueCommands();
  void Read(size_t aRank);
  void Order(size_t aRank, RankOrder aOrder);
  /** Logs what the change is told of a rank, and by whom. */
  void LogRead(size_t aRank, const std::optional<RankSample>& aSample) const;
  void End();

  const global::IClock& mClock;
  IGroupPort& mPort;
  metrics::Metrics& mMetrics;
  const CurrentMap mCurrentMap;
  std::optional<MapChange> mChange;
  ChangePlan mPlan;
  std::string mGroup;
  OnEnd mOnEnd;
  /** Distinguishes the answers to this change from those to earlier ones. */
  uint64_t mChangeId = 0;
  global::TimePoint mStart{};
};

}
