#pragma once

#include "framework/net/httpserverconnection.h"
#include "gateway/internal/exchange.h"

#include <atomic>
#include <map>

namespace beryllever::gateway {

/** Callers' connections and their requests, on the traffic thread. */
class TrafficCore
{
public:
  TrafficCore(const global::IClock& aClock,
              const IRequestCodec& aCodec,
              metrics::Metrics& aMetrics,
              const std::string& aAvailabilityZone,
              std::atomic<int>& aOpenRequests);
  ~TrafficCore();

  bool Listen(const net::TcpAddress& aAddress);
  void BeginLeaving();
  void EndIntake();
  void TakeLoad(const net::TcpAddress& aEndpoint,
                int aRequests,
                bool aIsOpen,
                double aPace);
  Traffic& State() { return mTraffic; }

private:
  struct Caller
  {
    std::shared_ptr<net::HttpServerConnection> mConnection;
    std::shared_ptr<Exchange> mExchange;
    /** Bytes of its request's body that are held, or may come. */
    int64_t mHeldBytes = 0;
  };

  void Accept(std::shared_ptr<net::TcpSocket> aSocket);
  net::HttpServerConnection::Handlers HandlersFor(uint64_t aId);
  void Begin(uint64_t aId, net::ServerRequest aRequest);
  void Drop(uint64_t aId);
  /** Whether so many more bytes of a caller's request may be held. */
  bool MayHold(uint64_t aId, size_t aBytes);
  void ReturnHeld(Caller& aCaller);
  net::ServerLimits Limits() const;

  Traffic mTraffic;
  std::atomic<int>& mOpenRequests;
  net::TcpListener mListener;
  std::map<uint64_t, Caller> mCallers;
  uint64_t mLastId = 0;
  /** Bytes of all callers' requests. */
  int64_t mHeldBytes = 0;
};

}
