#pragma once

#include "framework/net/httpserverconnection.h"
#include "gateway/internal/exchange.h"

#include <QTimer>
#include <atomic>
#include <map>

namespace beryllever::gateway {

/** What is left of the callers' traffic; written on the traffic thread. */
struct OpenTraffic
{
  std::atomic<bool> mIsAccepting = true;
  std::atomic<int> mConnections = 0;
  /** Requests whose answer is not complete. */
  std::atomic<int> mRequests = 0;
};

/** Connections of callers and their requests. Lives on the traffic thread. */
class TrafficCore
{
public:
  TrafficCore(const global::IClock& aClock,
              const IRequestCodec& aCodec,
              metrics::Metrics& aMetrics,
              const std::string& aAvailabilityZone,
              OpenTraffic& aOpen);
  ~TrafficCore();

  bool Listen(const net::TcpAddress& aAddress);
  /** Adds "Connection: close" to answers that begin from now on, and stops
   * accepting at the time that the schedule states. */
  void BeginDraining(const StopSchedule& aSchedule);
  void UpdateLoad(const net::TcpAddress& aEndpoint,
                  int aRequests,
                  bool aIsOpen,
                  double aSlowdown);
  TrafficContext& Context() { return mContext; }

private:
  struct Caller
  {
    std::shared_ptr<net::HttpServerConnection> mConnection;
    std::shared_ptr<Exchange> mExchange;
    /** Bytes reserved for the body of its request. */
    int64_t mReservedBytes = 0;
    /** Id of its last request. */
    std::string mLastRequest;
  };

  /** Closes the listener. Connections that have been accepted may still bring a
   * request; they are closed when they have been idle for a moment. The
   * traffic has ended when no connection is left. */
  void StopAccepting();
  void Accept(std::shared_ptr<net::TcpSocket> aSocket);
  net::HttpServerConnection::Handlers HandlersFor(uint64_t aId);
  void BeginRequest(uint64_t aId, net::ServerRequest aRequest);
  void RemoveCaller(uint64_t aId);
  /** Notes an answer that the caller does not get whole, although its request
   * has ended. */
  static void LogUndelivered(const Caller& aCaller, size_t aBytes);
  /** Reserves bytes for the body of a caller's request. Beyond the limit,
   * requests that have not arrived whole and hold more than this one are
   * refused first, so that bodies that stop do not keep small requests out.
   * Returns false if the limit would still be exceeded. */
  bool ReserveBytes(uint64_t aId, size_t aBytes);
  /** Refuses the request that holds most of those that have not arrived whole.
   * Returns false if none holds more than so many bytes, or nothing was freed.
   */
  bool RefuseLargestUnfinished(int64_t aMinHeldBytes);
  void ReleaseBytes(Caller& aCaller);

  TrafficContext mContext;
  OpenTraffic& mOpen;
  net::TcpListener mListener;
  /** Runs until no more connections are accepted. */
  QTimer mAcceptTimer;
  std::map<uint64_t, Caller> mCallers;
  uint64_t mLastId = 0;
  /** Bytes reserved for the request bodies of all callers. */
  int64_t mReservedBytes = 0;
};

}
