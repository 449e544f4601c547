#pragma once

#include "framework/metrics/metrics.h"
#include "gateway/admissionqueue.h"
#include "gateway/connectionlimits.h"
#include "gateway/endpointbalancer.h"
#include "gateway/internal/endpointconnections.h"
#include "gateway/internal/promptguard.h"
#include "gateway/poolretrybudget.h"
#include "gateway/requestcodec.h"
#include "gateway/sitelimits.h"
#include "gateway/stopschedule.h"

#include <QTimer>
#include <functional>
#include <map>
#include <optional>

namespace beryllever::gateway {

/** Requests that may be queued in one gateway: those of each pool that has
 * priorities, and those of all others. */
constexpr size_t kMaxQueuedRequests = 64;

/** Waiting requests of one pool that has priorities. */
struct PoolAdmission
{
  explicit PoolAdmission(const global::IClock& aClock)
    : mEstimator(aClock)
  {
  }

  AdmissionQueue mQueue{ kMaxQueuedRequests };
  WaitEstimator mEstimator;
};

/** State shared by all requests of the traffic thread. */
class TrafficContext
{
public:
  TrafficContext(const global::IClock& aClock,
                 const IRequestCodec& aCodec,
                 metrics::Metrics& aMetrics,
                 std::string aAvailabilityZone);

  void SetSnapshot(std::shared_ptr<const published::Snapshot> aSnapshot);
  void SetLimits(const SiteLimits& aLimits, const GatewayFleet& aFleet);

  /** Queues a request until capacity may have changed. Returns an id for
   * Dequeue. */
  uint64_t Enqueue(int aPriority, std::function<void()> aOnTurn);
  void Dequeue(uint64_t aId);
  size_t QueueSize() const { return mQueue.size(); }
  /** State of a pool whose requests have different priorities, or null.
   * Requests of other pools share the queue of Enqueue. */
  PoolAdmission* FindAdmission(const std::string& aPool);
  /** Lets the queued requests try again, the most urgent first. */
  void WakeQueued();
  PoolRetryBudget& RetryBudgetFor(const std::string& aPool);
  const SiteLimits& Limits() const { return mLimits; }

  const global::IClock& mClock;
  const IRequestCodec& mCodec;
  metrics::Metrics& mMetrics;
  const std::string mAvailabilityZone;
  std::shared_ptr<const published::Snapshot> mSnapshot;
  ConnectionLimits mConnectionLimits;
  EndpointBalancer mBalancer;
  EndpointConnections mConnections;
  PromptGuard mPromptGuard;
  std::mt19937_64 mRandom;
  /** Set once the process is told to stop. */
  std::optional<StopSchedule> mStop;
  /** Whether connections are accepted. */
  bool mIsAccepting = true;

private:
  /** Logs and counts that the thread did not run for a while. */
  void RecordStall();
  void RetryQueued();
  /** Serves a pool's waiting requests, and gives up those that cannot be served
   * in time. */
  void ServeQueued(PoolAdmission& aAdmission);
  bool HasQueued() const;

  SiteLimits mLimits;
  int mGatewayCount = 1;
  std::map<std::string, PoolRetryBudget> mRetryBudgets;
  /** Ordered by priority, then by arrival. */
  std::map<std::pair<int, uint64_t>, std::function<void()>> mQueue;
  uint64_t mLastQueueId = 0;
  std::map<std::string, PoolAdmission> mAdmissions;
  QTimer mWakeTimer;
  QTimer mSweepTimer;
  global::TimePoint mLastSweep{};
};

}
