#include "framework/net/httpcall.h"

#include <CppUTest/TestHarness.h>
#include <QCoreApplication>
#include <QTcpServer>
#include <QTcpSocket>

using namespace beryllever;

namespace {

/** How the server treats a request that it has read whole. */
enum class Treatment
{
  CloseWithoutAnswer,
  CloseInsideStatusLine,
  AnswerThenCloseNext,
  CutBody,
  ServerError,
};

/** Server that counts the requests which arrive whole. */
class CountingServer
{
public:
  explicit CountingServer(Treatment aTreatment)
    : mTreatment(aTreatment)
  {
    mServer.listen(QHostAddress::LocalHost);
    QObject::connect(
      &mServer, &QTcpServer::newConnection, [this] { Accept(); });
  }

  QUrl Url() const
  {
    return QUrl(
      QStringLiteral("http://127.0.0.1:%1/unlock").arg(mServer.serverPort()));
  }
  int Arrivals() const { return mArrivals; }

private:
  void Accept()
  {
    QTcpSocket* socket = mServer.nextPendingConnection();
    QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
      if (!socket->readAll().contains("body")) {
        return;
      }
      ++mArrivals;
      if (mTreatment == Treatment::AnswerThenCloseNext && mArrivals == 1) {
        socket->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        return;
      }
      socket->write(AnswerFor(mTreatment));
      socket->disconnectFromHost();
    });
  }

  static QByteArray AnswerFor(Treatment aTreatment)
  {
    switch (aTreatment) {
      case Treatment::CloseInsideStatusLine:
        return "HTTP/1.";
      case Treatment::CutBody:
        return "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly a part";
      case Treatment::ServerError:
        return "HTTP/1.1 500 Internal Server Error\r\nContent-Length: "
               "4\r\n\r\noops";
      default:
        return {};
    }
  }

  QTcpServer mServer;
  Treatment mTreatment;
  int mArrivals = 0;
};

net::HttpOutcome
PostAndWait(QNetworkAccessManager& aManager, const QUrl& aUrl)
{
  bool isDone = false;
  net::HttpOutcome result;
  net::Fetch(aManager,
             { .mMethod = "POST", .mUrl = aUrl, .mBody = "body" },
             std::chrono::seconds(5),
             [&](const net::HttpOutcome& aOutcome, const net::HttpAnswer&) {
               result = aOutcome;
               isDone = true;
             });
  while (!isDone) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 50);
  }
  return result;
}

}

TEST_GROUP(HttpCall){};

TEST(HttpCall, APostWithoutAnAnswerArrivesOnce)
{
  CountingServer server(Treatment::CloseWithoutAnswer);
  QNetworkAccessManager manager;

  const auto outcome = PostAndWait(manager, server.Url());

  CHECK_FALSE(outcome.mIsComplete);
  CHECK(outcome.mIsSent);
  CHECK_EQUAL(1, server.Arrivals());
}

TEST(HttpCall, APostCutInsideTheStatusLineArrivesOnce)
{
  CountingServer server(Treatment::CloseInsideStatusLine);
  QNetworkAccessManager manager;

  const auto outcome = PostAndWait(manager, server.Url());

  CHECK_FALSE(outcome.mIsComplete);
  CHECK_EQUAL(1, server.Arrivals());
}

TEST(HttpCall, APostOnAReusedConnectionArrivesOnce)
{
  CountingServer server(Treatment::AnswerThenCloseNext);
  QNetworkAccessManager manager;

  const auto first = PostAndWait(manager, server.Url());
  const auto second = PostAndWait(manager, server.Url());

  CHECK(first.mIsComplete);
  CHECK_FALSE(second.mIsComplete);
  CHECK_EQUAL(2, server.Arrivals());
}

TEST(HttpCall, ACutAnswerIsNotComplete)
{
  for (const Treatment treatment :
       { Treatment::CutBody, Treatment::CloseInsideStatusLine }) {
    CountingServer server(treatment);
    QNetworkAccessManager manager;

    const auto outcome = PostAndWait(manager, server.Url());

    CHECK_FALSE(outcome.mIsComplete);
    CHECK_EQUAL(1, server.Arrivals());
  }
}

TEST(HttpCall, AWholeAnswerWithAnErrorStatusIsComplete)
{
  CountingServer server(Treatment::ServerError);
  QNetworkAccessManager manager;

  const auto outcome = PostAndWait(manager, server.Url());

  CHECK_EQUAL(500, outcome.mStatus);
  CHECK(outcome.mIsComplete);
}

TEST(HttpCall, ARefusedConnectionSendsNothing)
{
  QTcpServer closed;
  closed.listen(QHostAddress::LocalHost);
  const QUrl url(
    QStringLiteral("http://127.0.0.1:%1/").arg(closed.serverPort()));
  closed.close();
  QNetworkAccessManager manager;

  const auto outcome = PostAndWait(manager, url);

  CHECK_FALSE(outcome.mIsComplete);
  CHECK_FALSE(outcome.mIsSent);
}
