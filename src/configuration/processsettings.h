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
  int64_t mHeaderBytes = 16 * 1024;
  int64_t mBodyBytes = 1024 * 1024;
  int mConnections = 4096;
  /** Bytes of a response that are buffered for one caller. */
  int64_t mStreamBytes = 32 * 1024;
  /** Bytes that are buffered for all callers and requests together. */
  int64_t mHeldBytes = 256 * 1024 * 1024;
  /** Requests that may be queued for an endpoint. */
  int mQueuedRequests = 1000;
};

/** Additional settings of gateways and rank agents. */
struct SiteSettings
{
  std::string mRegion;
  /** Address of the platform's store; only set for a gateway. */
  std::string mStore;
  /** Address of the readiness check. */
  std::string mReadyAddress;
  /** Address of the directory that tells callers which gateways to use. */
  std::string mDirectoryAddress;
  /** Address of the model engine on the same VM as the rank agent. */
  std::string mEndpointAddress;
  /** Time for which callers may cache a response of the directory. */
  std::chrono::seconds mTimeToLive{ 2 };
  /** Time from SIGTERM until the process must have exited. */
  std::chrono::milliseconds mTerminationGracePeriod{ 8000 };
  /** Retry budget: retries per request in a window, and further retries in a
   * window. */
  double mRetryRatio = 0.2;
  double mRetryExtra = 0;
  std::chrono::milliseconds mRetryWindow{ 10000 };
  /** Factor and addend of the limit on the request rate of a cold endpoint. */
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
