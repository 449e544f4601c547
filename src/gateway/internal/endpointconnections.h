#pragma once

#include "framework/global/iclock.h"
#include "framework/net/httpclientconnection.h"
#include "published/snapshot.h"

#include <map>
#include <memory>
#include <vector>

namespace beryllever::gateway {

/** A connection to an endpoint, for one request. */
struct LeasedConnection
{
  std::shared_ptr<net::HttpClientConnection> mConnection;
  /** Whether it has carried a request before; its peer may have dropped it. */
  bool mIsReused = false;
};

/** Keeps connections to endpoints open between requests. */
class EndpointConnections
{
public:
  explicit EndpointConnections(const global::IClock& aClock);

  /** A fresh connection is never one that the peer may have dropped. */
  LeasedConnection Acquire(const published::Endpoint& aEndpoint,
                           bool aMustBeFresh);
  /** Takes a connection back after a whole answer. */
  void Release(const published::Endpoint& aEndpoint,
               std::shared_ptr<net::HttpClientConnection> aConnection,
               std::optional<std::chrono::milliseconds> aKeepAlive);
  /** Closes connections that are old or whose endpoint is gone. */
  void Sweep(const published::Snapshot& aSnapshot);
  void CloseAll();

private:
  struct Idle
  {
    std::shared_ptr<net::HttpClientConnection> mConnection;
    net::TcpAddress mAddress;
    int64_t mBorn = 0;
    global::TimePoint mDeadline;
  };

  const global::IClock& mClock;
  std::map<std::string, std::vector<Idle>> mIdle;
};

}
