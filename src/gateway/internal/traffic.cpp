#include "gateway/internal/traffic.h"

#include "framework/global/identifiers.h"

namespace beryllever::gateway {

namespace {

/** Time after which waiting requests try again though nothing was heard. */
constexpr milliseconds kRecheck{ 25 };
constexpr milliseconds kSweepInterval{ 500 };

}

Traffic::Traffic(const global::IClock& aClock,
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
  , mLedger(aClock, global::RandomIdentifier())
  , mConnections(aClock)
  , mRandom(global::RandomIdentifier())
{
  mWakeTimer.setSingleShot(true);
  QObject::connect(
    &mWakeTimer, &QTimer::timeout, &mWakeTimer, [this] { WakeNow(); });
  QObject::connect(&mSweepTimer, &QTimer::timeout, &mSweepTimer, [this] {
    mConnections.Sweep(*mSnapshot);
    mLedger.Retain(*mSnapshot);
  });
  mSweepTimer.start(kSweepInterval);
}

void
Traffic::SetSnapshot(std::shared_ptr<const published::Snapshot> aSnapshot)
{
  mSnapshot = std::move(aSnapshot);
  mConnections.Sweep(*mSnapshot);
  Wake();
}

void
Traffic::SetBounds(const SiteBounds& aBounds, int aEntries)
{
  mBounds = aBounds;
  mEntries = aEntries;
  mLedger.SetBounds({ aEntries, aBounds.mColdOverage, aBounds.mColdTolerance });
  for (auto& [pool, retries] : mRetries) {
    retries.SetBounds({ mBounds.mRetryRatio,
                        mBounds.mRetryExtra,
                        mBounds.mRetryWindow,
                        mEntries });
  }
}

uint64_t
Traffic::Wait(int aPriority, std::function<void()> aOnTurn)
{
  ++mLastTicket;
  mWaiters.emplace(std::pair(aPriority, mLastTicket), std::move(aOnTurn));
  if (!mWakeTimer.isActive()) {
    mWakeTimer.start(kRecheck);
  }
  return mLastTicket;
}

void
Traffic::StopWaiting(uint64_t aTicket)
{
  std::erase_if(mWaiters, [&](const auto& aWaiter) {
    return aWaiter.first.second == aTicket;
  });
}

void
Traffic::Wake()
{
  if (!mWaiters.empty()) {
    mWakeTimer.start(0);
  }
}

void
Traffic::WakeNow()
{
  auto waiters = std::move(mWaiters);
  mWaiters.clear();
  for (auto& [order, onTurn] : waiters) {
    onTurn();
  }
}

RetryAllowance&
Traffic::RetriesOf(const std::string& aPool)
{
  const auto [it, isNew] = mRetries.try_emplace(aPool, mClock);
  if (isNew) {
    it->second.SetBounds({ mBounds.mRetryRatio,
                           mBounds.mRetryExtra,
                           mBounds.mRetryWindow,
                           mEntries });
  }
  return it->second;
}

}
