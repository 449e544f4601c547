#pragma once

#include "configuration/configurationtypes.h"
#include "framework/global/errors.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace beryllever::configuration {

/** Limits of one process. */
struct ProcessLimits
{
  int64_t mHeaderBytes = 16 * 1024;
  int64_t mBodyBytes = 1024 * 1024;
  int mConnections = 4096;
  /** Bytes of an answer held for one caller. */
  int64_t mStreamBytes = 32 * 1024;
  /** Bytes held for all callers and requests. */
  int64_t mHeldBytes = 256 * 1024 * 1024;
  /** Requests that wait for an endpoint. */
  int mQueuedRequests = 1000;
};

/** What a gateway or a rank agent needs beyond the common settings. */
struct SiteSettings
{
  std::string mRegion;
  /** Address of the platform's store; a gateway's only. */
  std::string mStore;
  /** Address of the readiness page. */
  std::string mReadyAddress;
  /** Address of the page that tells callers which gateways to use. */
  std::string mDirectoryAddress;
  /** Address of the endpoint beside a rank agent. */
  std::string mEndpointAddress;
  /** How long callers may keep an answer of the directory. */
  std::chrono::seconds mTimeToLive{ 2 };
  /** Time from SIGTERM until the process must have ended. */
  std::chrono::milliseconds mGrace{ 8000 };
  double mRetryRatio = 0.2;
  double mRetryExtra = 0;
  std::chrono::milliseconds mRetryWindow{ 10000 };
  double mColdOverage = 1;
  double mColdTolerance = 0;
};

/** Settings of one process, read at its start and again when they change. */
class IProcessSettings
{
public:
  virtual ~IProcessSettings() = default;

  virtual const std::string& Role() const = 0;
  virtual const std::string& VmName() const = 0;
  virtual const std::string& AvailabilityZone() const = 0;
  /** Address for the system's own processes. */
  virtual const std::string& PeerAddress() const = 0;
  /** Address to listen on for the system's own processes; differs from
   * PeerAddress behind address translation. */
  virtual const std::string& PeerListenAddress() const = 0;
  /** Address for operators: status, metrics, health. */
  virtual const std::string& OperatorAddress() const = 0;
  /** Address for callers; an entry's only. */
  virtual const std::string& CallerAddress() const = 0;
  /** URL of the local back end; an agent's only. */
  virtual const std::string& BackEnd() const = 0;
  virtual const std::vector<std::string>& Platform() const = 0;
  virtual const std::vector<std::string>& Seeds() const = 0;
  virtual const std::string& Collector() const = 0;
  virtual const std::string& LogLevel() const = 0;
  virtual const ProcessLimits& Limits() const = 0;
  virtual const SiteSettings& Site() const = 0;
};

/** Reads settings from JSON with comments. Error: InvalidConfiguration with key
 * and reason. */
global::Result<std::shared_ptr<IProcessSettings>>
ParseSettings(const std::string& aText, const std::string& aSource);

/** An IP number and a port. */
struct SocketAddress
{
  std::string mHost;
  uint16_t mPort = 0;
};

/** Splits "ip:port". Error: InvalidConfiguration. */
global::Result<SocketAddress>
ParseAddress(const std::string& aText);

}
