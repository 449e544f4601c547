#pragma once

#include "framework/metrics/metrics.h"
#include "gateway/endpointledger.h"
#include "gateway/internal/endpointconnections.h"
#include "gateway/requestcodec.h"
#include "gateway/retryallowance.h"
#include "gateway/sitebounds.h"

#include <QTimer>
#include <functional>
#include <map>

namespace beryllever::gateway {

/** State that the requests of one traffic thread share. */
class Traffic
{
public:
  Traffic(const global::IClock& aClock,
          const IRequestCodec& aCodec,
          metrics::Metrics& aMetrics,
          std::string aAvailabilityZone);

  void SetSnapshot(std::shared_ptr<const published::Snapshot> aSnapshot);
  void SetBounds(const SiteBounds& aBounds, int aEntries);

  /** A request waits until something has changed; returns its ticket. */
  uint64_t Wait(int aPriority, std::function<void()> aOnTurn);
  void StopWaiting(uint64_t aTicket);
  size_t Waiting() const { return mWaiters.size(); }
  /** Lets waiting requests try again, the most urgent first. */
  void Wake();
  RetryAllowance& RetriesOf(const std::string& aPool);
  const SiteBounds& Bounds() const { return mBounds; }

  const global::IClock& mClock;
  const IRequestCodec& mCodec;
  metrics::Metrics& mMetrics;
  const std::string mAvailabilityZone;
  std::shared_ptr<const published::Snapshot> mSnapshot;
  EndpointLedger mLedger;
  EndpointConnections mConnections;
  std::mt19937_64 mRandom;
  bool mIsLeaving = false;

private:
  void WakeNow();

  SiteBounds mBounds;
  int mEntries = 1;
  std::map<std::string, RetryAllowance> mRetries;
  /** By priority, then by order of arrival. */
  std::map<std::pair<int, uint64_t>, std::function<void()>> mWaiters;
  uint64_t mLastTicket = 0;
  QTimer mWakeTimer;
  QTimer mSweepTimer;
};

}
