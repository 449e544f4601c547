#pragma once

#include "configuration/configurationtypes.h"
#include "framework/global/errors.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace beryllever::configuration {

/** Resource limits of one process. */
struct ProcessLimits
{
  /** Maximum size of a request's header section with its request line. */
  int64_t mHeaderBytes = 16 * 1024;
  /** Maximum size of a request body, and of a response body that an agent must
   * keep whole. */
  int64_t mBodyBytes = 1024 * 1024;
  /** Maximum number of open connections from callers. */
  int mConnections = 4096;
  /** Bytes of a response that are buffered for one caller. */
  int64_t mStreamBytes = 32 * 1024;
  /** Maximum number of bytes that are buffered for all callers and requests
   * together. */
  int64_t mHeldBytes = 256 * 1024 * 1024;
  /** Requests that may be queued per pool. */
  int mQueuedRequests = 1000;
};

/** Settings under the key "site", which only gateways and rank agents use. */
struct SiteSettings
{
  std::string mRegion;
  /** Address of the platform's store; only set for a gateway. */
  std::string mStore;
  /** Address to listen on for readiness checks. */
  std::string mReadyAddress;
  /** Address to listen on for queries of the directory, which tells callers
   * which gateways to use. */
  std::string mDirectoryAddress;
  /** Address of the model engine on the same VM as the rank agent. */
  std::string mEndpointAddress;
  /** Time for which callers may cache a response of the directory. */
  std::chrono::seconds mTimeToLive{ 2 };
  /** Time after a disturbance from which time bounds hold again. A lost
   * connection to the store is replaced within it. */
  std::chrono::milliseconds mContactTime{ 3000 };
  /** Time from SIGTERM until the process must have exited. */
  std::chrono::milliseconds mTerminationGracePeriod{ 8000 };
  /** Retry budget of a pool: up to mRetryRatio * requests + mRetryExtra retries
   * per mRetryWindow. Each gateway counts its own requests, takes its share of
   * mRetryExtra, and stays below the sum by a margin. */
  double mRetryRatio = 0.2;
  double mRetryExtra = 0;
  std::chrono::milliseconds mRetryWindow{ 10000 };
  /** Limit on the requests per second to an endpoint, divided among the
   * gateways: the cold requests per second of its pool * mColdOverage +
   * mColdTolerance. Applies to warm endpoints too, which can turn cold at any
   * moment. There is no limit if the pool sets no cold rate. */
  double mColdOverage = 1;
  double mColdTolerance = 0;
};

/** Settings of one process, read at startup and again when the file changes. */
class IProcessSettings
{
public:
  virtual ~IProcessSettings() = default;

  virtual const std::string& Role() const = 0;
  virtual const std::string& VmName() const = 0;
  virtual const std::string& AvailabilityZone() const = 0;
  /** Address on which other processes of the load balancer reach this one. */
  virtual const std::string& PeerAddress() const = 0;
  /** Address to listen on for other processes of the load balancer. Differs
   * from PeerAddress behind network address translation. */
  virtual const std::string& PeerListenAddress() const = 0;
  /** Address of the operator pages: status, metrics and health. */
  virtual const std::string& OperatorAddress() const = 0;
  /** Address to listen on for callers; only set for an entry or a gateway. */
  virtual const std::string& CallerAddress() const = 0;
  /** URL of the local back end; only set for an agent. */
  virtual const std::string& BackEnd() const = 0;
  /** Base URLs of the platform's Consul interface. */
  virtual const std::vector<std::string>& PlatformUrls() const = 0;
  /** Addresses of the peers that are contacted first. */
  virtual const std::vector<std::string>& Seeds() const = 0;
  /** Base URL of the OTLP collector; empty if spans are not exported. */
  virtual const std::string& CollectorUrl() const = 0;
  virtual const std::string& LogLevel() const = 0;
  virtual const ProcessLimits& Limits() const = 0;
  virtual const SiteSettings& Site() const = 0;
};

/** Parses and checks settings, which are JSON with comments. Error:
 * InvalidConfiguration, whose message names the key and the reason. */
global::Result<std::shared_ptr<IProcessSettings>>
ParseSettings(const std::string& aText, const std::string& aSource);

/** An IP address and a port. */
struct SocketAddress
{
  std::string mHost;
  uint16_t mPort = 0;
};

/** Parses "ip:port". Error: InvalidConfiguration. */
global::Result<SocketAddress>
ParseAddress(const std::string& aText);

}
