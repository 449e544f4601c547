#pragma once

#include "framework/global/iclock.h"
#include "framework/net/httpexchange.h"
#include "framework/net/nettypes.h"

#include <QAbstractHttpServer>
#include <atomic>
#include <functional>

namespace beryllever::net {

/** HTTP server whose handler gets each request with its exchange. */
class HttpServer : public QAbstractHttpServer
{
public:
  using Handler = std::function<void(HttpExchange*)>;

  HttpServer(const HttpLimits& aLimits,
             const global::IClock& aClock,
             Handler aHandler);

  /** Listens on an address; returns false if it cannot be had. */
  bool Listen(const QHostAddress& aAddress, quint16 aPort);
  /** Refuses new connections; open ones go on. */
  void CloseListener();
  quint16 Port() const;
  /** Requests that have no complete answer yet. */
  int OpenExchanges() const { return mOpenExchanges; }

protected:
  bool handleRequest(const QHttpServerRequest& aRequest,
                     QTcpSocket* aSocket) override;
  void missingHandler(const QHttpServerRequest& aRequest,
                      QTcpSocket* aSocket) override;

private:
  HttpLimits mLimits;
  const global::IClock& mClock;
  Handler mHandler;
  QTcpServer* mServer = nullptr;
  std::atomic<int> mOpenExchanges = 0;
};

}
