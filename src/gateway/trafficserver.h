#pragma once

#include "framework/net/httpserverconnection.h"
#include "gateway/requestcodec.h"
#include "gateway/sitebounds.h"
#include "published/snapshot.h"

#include <QObject>
#include <QThread>
#include <atomic>
#include <memory>

namespace beryllever::metrics {
class Metrics;
}

namespace beryllever::gateway {

struct LoadReport;
class TrafficCore;

/**
 * Takes callers' requests and passes them on, on a thread of its own. All
 * functions are called on the control thread.
 */
class TrafficServer
{
public:
  TrafficServer(const global::IClock& aClock,
                const IRequestCodec& aCodec,
                metrics::Metrics& aMetrics,
                std::string aAvailabilityZone);
  ~TrafficServer();

  /** Returns false if the address cannot be had. */
  bool Start(const net::TcpAddress& aAddress);
  void Stop();
  void SetSnapshot(std::shared_ptr<const published::Snapshot> aSnapshot);
  void SetBounds(const SiteBounds& aBounds, int aGateways);
  /** Load of the endpoint with this address, as its agent reports it. */
  void TakeLoad(const net::TcpAddress& aEndpoint,
                int aRequests,
                bool aIsOpen,
                double aPace);
  /** Answers from now on tell callers to close their connections. */
  void BeginLeaving();
  /** Takes no more requests; those that are here run to their end. */
  void EndIntake();
  /** Requests without a complete answer. */
  int OpenRequests() const { return mOpenRequests; }

private:
  const global::IClock& mClock;
  const IRequestCodec& mCodec;
  metrics::Metrics& mMetrics;
  const std::string mAvailabilityZone;
  QThread mThread;
  QObject mContext;
  std::unique_ptr<TrafficCore> mCore;
  std::atomic<int> mOpenRequests = 0;
};

}
