#include "gateway/internal/trafficcontext.h"

#include "framework/global/identifiers.h"
#include "framework/log/log.h"

namespace beryllever::gateway {

namespace {

constexpr char kLogTag[] = "traffic";
/** Delay after which queued requests try again even without a change. */
constexpr milliseconds kRecheckInterval{ 25 };
/** Interval at which expired connections are closed and idle endpoints that
 * are not in the snapshot are removed from the balancer. */
constexpr milliseconds kSweepInterval{ 500 };
/** Delay of a sweep above which it is logged that the thread was blocked: much
 * of the time for which callers of streams wait for an event. */
constexpr milliseconds kMaxSweepDelay{ 250 };

}

TrafficContext::TrafficContext(const global::IClock& aClock,
                               const IRequestCodec& aCodec,
                               metrics::Metrics& aMetrics,
                               std::string aAvailabilityZone)
  : mClock(aClock)
  , mCodec(aCodec)
  , mMetrics(aMetrics)
  , mAvailabilityZone(std::move(aAvailabilityZone))
  , mSnapshot(
      std::make_shared<published::Snapshot>(nullptr,
                                            published::Snapshot::Endpoints(),
                                            std::set<std::string>(),
                                            0))
  , mConnectionLimits(aClock)
  , mBalancer(aClock, global::RandomIdentifier())
  , mConnections(aClock)
  , mPromptGuard(aClock, aMetrics, global::RandomIdentifier())
  , mRandom(global::RandomIdentifier())
{
  mWakeTimer.setSingleShot(true);
  QObject::connect(
    &mWakeTimer, &QTimer::timeout, &mWakeTimer, [this] { RetryQueued(); });
  QObject::connect(&mSweepTimer, &QTimer::timeout, &mSweepTimer, [this] {
    RecordStall();
    mConnections.CloseExpired(*mSnapshot);
    mBalancer.RemoveMissing(*mSnapshot);
  });
  mLastSweep = mClock.Now();
  mSweepTimer.start(kSweepInterval);
}

void
TrafficContext::RecordStall()
{
  const auto now = mClock.Now();
  const auto delay =
    std::chrono::duration_cast<milliseconds>(now - mLastSweep - kSweepInterval);
  mLastSweep = now;
  if (delay <= kMaxSweepDelay) {
    return;
  }
  LOGW("The traffic thread was blocked. delayMilliseconds=" << delay.count());
  mMetrics.Count("beryllever_traffic_stalls");
}

void
TrafficContext::SetSnapshot(
  std::shared_ptr<const published::Snapshot> aSnapshot)
{
  mSnapshot = std::move(aSnapshot);
  if (mSnapshot->IsKnown()) {
    mConnectionLimits.Update(mSnapshot->Tables().mLimits);
  }
  mConnections.CloseExpired(*mSnapshot);
  WakeQueued();
}

void
TrafficContext::SetLimits(const SiteLimits& aLimits, const GatewayFleet& aFleet)
{
  mLimits = aLimits;
  mGatewayCount = aFleet.mCount;
  mBalancer.SetColdRateLimit(
    { aFleet, aLimits.mColdOverage, aLimits.mColdTolerance });
  for (auto& [pool, budget] : mRetryBudgets) {
    budget.SetLimits({ mLimits.mRetryRatio,
                       mLimits.mRetryExtra,
                       mLimits.mRetryWindow,
                       mGatewayCount });
  }
}

uint64_t
TrafficContext::Enqueue(int aPriority, std::function<void()> aOnTurn)
{
  ++mLastQueueId;
  mQueue.emplace(std::pair(aPriority, mLastQueueId), std::move(aOnTurn));
  if (!mWakeTimer.isActive()) {
    mWakeTimer.start(kRecheckInterval);
  }
  return mLastQueueId;
}

void
TrafficContext::Dequeue(uint64_t aId)
{
  std::erase_if(
    mQueue, [&](const auto& aQueued) { return aQueued.first.second == aId; });
}

void
TrafficContext::WakeQueued()
{
  if (HasQueued()) {
    mWakeTimer.start(0);
  }
}

void
TrafficContext::RetryQueued()
{
  auto queue = std::move(mQueue);
  mQueue.clear();
  for (auto& [order, onTurn] : queue) {
    onTurn();
  }
  for (auto& [pool, admission] : mAdmissions) {
    ServeQueued(admission);
  }
  if (HasQueued() && !mWakeTimer.isActive()) {
    mWakeTimer.start(kRecheckInterval);
  }
}

void
TrafficContext::ServeQueued(PoolAdmission& aAdmission)
{
  AdmissionQueue& queue = aAdmission.mQueue;
  queue.Serve();
  queue.RefuseExpired(mClock.Now());
  queue.RefuseHopeless(aAdmission.mEstimator, mClock.Now());
  aAdmission.mEstimator.SetWaiting(queue.Size() > 0);
}

bool
TrafficContext::HasQueued() const
{
  return !mQueue.empty() ||
         std::any_of(
           mAdmissions.begin(), mAdmissions.end(), [](const auto& aAdmission) {
             return aAdmission.second.mQueue.Size() > 0;
           });
}

PoolAdmission*
TrafficContext::FindAdmission(const std::string& aPool)
{
  if (!mSnapshot->HasPriorities(aPool)) {
    return nullptr;
  }
  return &mAdmissions.try_emplace(aPool, mClock).first->second;
}

PoolRetryBudget&
TrafficContext::RetryBudgetFor(const std::string& aPool)
{
  const auto [it, isNew] = mRetryBudgets.try_emplace(aPool, mClock);
  if (isNew) {
    it->second.SetLimits({ mLimits.mRetryRatio,
                           mLimits.mRetryExtra,
                           mLimits.mRetryWindow,
                           mGatewayCount });
  }
  return it->second;
}

}
