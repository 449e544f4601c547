#include "framework/net/httpserver.h"

#include <CppUTest/TestHarness.h>
#include <QCoreApplication>
#include <QTcpSocket>
#include <QTimer>

using namespace beryllever;

namespace {

/** Sends bytes and returns all that comes back until the connection closes or
 * the text is seen. */
QByteArray
Converse(quint16 aPort, const QByteArray& aBytes, const QByteArray& aUntil)
{
  QTcpSocket socket;
  socket.connectToHost(QHostAddress::LocalHost, aPort);
  QByteArray answer;
  bool isSent = false;
  while (!answer.contains(aUntil)) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 50);
    if (!isSent && socket.state() == QAbstractSocket::ConnectedState) {
      socket.write(aBytes);
      isSent = true;
    }
    answer += socket.readAll();
    if (isSent && socket.state() == QAbstractSocket::UnconnectedState) {
      break;
    }
  }
  return answer;
}

}

TEST_GROUP(HttpServer)
{
  global::ManualClock clock;
  int handled = 0;
  net::HttpLimits limits{ .mHeaderBytes = 1024,
                          .mBodyBytes = 4096,
                          .mConnections = 2 };

  std::unique_ptr<net::HttpServer> Serve()
  {
    auto server = std::make_unique<net::HttpServer>(
      limits, clock, [this](net::HttpExchange* aExchange) {
        ++handled;
        aExchange->Reply(
          200,
          {},
          "got " + QByteArray::number(aExchange->Request().mBody.size()));
      });
    CHECK(server->Listen(QHostAddress::LocalHost, 0));
    return server;
  }
};

TEST(HttpServer, AWholeRequestIsHandled)
{
  const auto server = Serve();

  const auto answer =
    Converse(server->Port(),
             "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
             "got 3");

  CHECK(answer.startsWith("HTTP/1.1 200"));
}

TEST(HttpServer, ABodyOverTheCapIsRefusedBeforeItIsWhole)
{
  const auto server = Serve();

  const auto answer =
    Converse(server->Port(),
             "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 400000000\r\n\r\n" +
               QByteArray(6000, 'x'),
             "too_large");

  CHECK(answer.startsWith("HTTP/1.1 413"));
  CHECK_EQUAL(0, handled);
}

TEST(HttpServer, AHeaderThatNeverEndsIsRefused)
{
  const auto server = Serve();

  const auto answer =
    Converse(server->Port(),
             "GET / HTTP/1.1\r\nX-A: " + QByteArray(2000, 'x'),
             "too_large");

  CHECK(answer.startsWith("HTTP/1.1 431"));
  CHECK_EQUAL(0, handled);
}

TEST(HttpServer, ARequestThatIsNotCompleteInTimeIsRefused)
{
  const auto server = Serve();
  QTimer::singleShot(100, [this] { clock.Advance(std::chrono::minutes(1)); });

  const auto answer =
    Converse(server->Port(), "GET / HTTP/1.1\r\nX-A: ", "request_timeout");

  CHECK(answer.startsWith("HTTP/1.1 408"));
}

TEST(HttpServer, ConnectionsOverTheLimitAreRefused)
{
  const auto server = Serve();
  QTcpSocket first;
  QTcpSocket second;
  first.connectToHost(QHostAddress::LocalHost, server->Port());
  second.connectToHost(QHostAddress::LocalHost, server->Port());
  while (first.state() != QAbstractSocket::ConnectedState ||
         second.state() != QAbstractSocket::ConnectedState) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 50);
  }

  const auto answer =
    Converse(server->Port(), "GET / HTTP/1.1\r\n\r\n", "too_many_connections");

  CHECK(answer.startsWith("HTTP/1.1 503"));
}
