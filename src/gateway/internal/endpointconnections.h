#pragma once

#include "framework/global/iclock.h"
#include "framework/net/httpclientconnection.h"
#include "published/snapshot.h"

#include <map>
#include <memory>
#include <vector>

namespace beryllever::gateway {

/** A connection to an endpoint that is in use by one request. */
struct LeasedConnection
{
  std::shared_ptr<net::HttpClientConnection> mConnection;
  /** Whether it has already served a request. If so, the endpoint may have
   * closed it in the meantime. */
  bool mIsReused = false;
};

/** Pool of idle keep-alive connections to endpoints. */
class EndpointConnections
{
public:
  explicit EndpointConnections(const global::IClock& aClock);

  /** Returns an idle connection, or a new one if there is none or if
   * aMustBeFresh is set. A new one cannot have been closed by the endpoint
   * while idle. */
  LeasedConnection Acquire(const published::Endpoint& aEndpoint,
                           bool aMustBeFresh);
  /** Returns a connection to the pool after a complete response. */
  void Release(const published::Endpoint& aEndpoint,
               std::shared_ptr<net::HttpClientConnection> aConnection,
               std::optional<std::chrono::milliseconds> aKeepAlive);
  /** Closes connections that have been idle for too long or whose endpoint is
   * no longer ready. */
  void CloseExpired(const published::Snapshot& aSnapshot);
  void CloseAll();

private:
  struct IdleConnection
  {
    std::shared_ptr<net::HttpClientConnection> mConnection;
    net::TcpAddress mAddress;
    /** Start time of the endpoint, which tells a restart under the same id. */
    int64_t mBorn = 0;
    global::TimePoint mDeadline;
  };

  const global::IClock& mClock;
  std::map<std::string, std::vector<IdleConnection>> mIdle;
};

}
