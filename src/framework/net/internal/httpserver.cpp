#include "framework/net/httpserver.h"

#include "framework/net/internal/limitedtcpserver.h"

#include <QHttpServerRequest>
#include <QMetaEnum>
#include <QUrlQuery>

namespace beryllever::net {

namespace {

HttpRequest
Copy(const QHttpServerRequest& aRequest)
{
  HttpRequest request;
  const auto methods = QMetaEnum::fromType<QHttpServerRequest::Method>();
  request.mMethod =
    QByteArray(methods.valueToKey(static_cast<int>(aRequest.method())))
      .toUpper();
  request.mPath = aRequest.url().path().toUtf8();
  for (const auto& [name, value] :
       aRequest.query().queryItems(QUrl::FullyDecoded)) {
    request.mQuery.insert(name.toUtf8(), value.toUtf8());
  }
  for (const auto& [name, value] : aRequest.headers()) {
    request.mHeaders.insert(name.toLower(), value);
  }
  request.mBody = aRequest.body();
  return request;
}

}

HttpServer::HttpServer(const HttpLimits& aLimits,
                       const global::IClock& aClock,
                       Handler aHandler)
  : mLimits(aLimits)
  , mClock(aClock)
  , mHandler(std::move(aHandler))
{
}

bool
HttpServer::Listen(const QHostAddress& aAddress, quint16 aPort)
{
  auto* server = new LimitedTcpServer(mLimits, mClock);
  if (!server->listen(aAddress, aPort)) {
    delete server;
    return false;
  }
  mServer = server;
  bind(server);
  return true;
}

void
HttpServer::CloseListener()
{
  if (mServer) {
    mServer->close();
  }
}

quint16
HttpServer::Port() const
{
  return mServer ? mServer->serverPort() : 0;
}

bool
HttpServer::handleRequest(const QHttpServerRequest& aRequest,
                          QTcpSocket* aSocket)
{
  auto* socket = static_cast<LimitedSocket*>(aSocket);
  // A second request before the end of the first answer would mix the two
  // answers.
  if (socket->IsBusy()) {
    socket->abort();
    return true;
  }
  socket->RequestComplete();
  ++mOpenExchanges;
  const QPointer<LimitedSocket> guard(socket);
  auto* exchange = new HttpExchange(Copy(aRequest), socket, [this, guard] {
    --mOpenExchanges;
    if (guard) {
      guard->SetIdle();
    }
  });
  mHandler(exchange);
  return true;
}

void
HttpServer::missingHandler(const QHttpServerRequest&, QTcpSocket* aSocket)
{
  aSocket->abort();
}

}
