#pragma once

#include "framework/net/httpserverconnection.h"
#include "gateway/gatewayfleet.h"
#include "gateway/requestcodec.h"
#include "gateway/sitelimits.h"
#include "gateway/stopschedule.h"
#include "published/snapshot.h"
#include "quarantine/promptquarantine.h"

#include <QObject>
#include <QThread>
#include <memory>

namespace beryllever::metrics {
class Metrics;
}

namespace beryllever::gateway {

struct LoadReport;
struct OpenTraffic;
class TrafficCore;

/**
 * Reverse proxy: accepts requests from callers and forwards them to endpoints,
 * on a thread of its own. All methods are called on the control thread.
 */
class TrafficServer
{
public:
  TrafficServer(const global::IClock& aClock,
                const IRequestCodec& aCodec,
                metrics::Metrics& aMetrics,
                std::string aAvailabilityZone);
  ~TrafficServer();

  /** Returns false if the address cannot be listened on. */
  bool Start(const net::TcpAddress& aAddress);
  void Stop();
  void SetSnapshot(std::shared_ptr<const published::Snapshot> aSnapshot);
  void SetLimits(const SiteLimits& aLimits, const GatewayFleet& aFleet);
  /** Records the load that an agent reports for the endpoint at the address. */
  void UpdateLoad(const net::TcpAddress& aEndpoint,
                  int aRequests,
                  bool aIsOpen,
                  double aSlowdown);
  /** Sets who tells the other gateways about parts of prompts; called on the
   * traffic thread. Before Start. */
  void SetAnnounceParts(
    std::function<void(const quarantine::Notices&)> aAnnounce)
  {
    mAnnounceParts = std::move(aAnnounce);
  }
  /** Takes what other gateways tell about parts of prompts. */
  void ApplyPartNotices(const quarantine::Notices& aNotices);
  /** Adds "Connection: close" to responses that begin from now on, and stops
   * accepting at the time that the schedule states. */
  void BeginDraining(const StopSchedule& aSchedule);
  /** Number of requests whose response is not complete. */
  int OpenRequests() const;
  /** Number of connections of callers. */
  int OpenConnections() const;
  /** Whether no connection is accepted and none is left, so that no further
   * request can arrive and all responses are written. */
  bool HasEnded() const;

private:
  const global::IClock& mClock;
  const IRequestCodec& mCodec;
  metrics::Metrics& mMetrics;
  const std::string mAvailabilityZone;
  std::function<void(const quarantine::Notices&)> mAnnounceParts;
  QThread mThread;
  QObject mContext;
  const std::unique_ptr<OpenTraffic> mOpen;
  std::unique_ptr<TrafficCore> mCore;
};

}
