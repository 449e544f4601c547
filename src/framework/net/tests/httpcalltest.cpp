#include "framework/net/httpcall.h"
#include "framework/net/tests/loopbackpeer.h"

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
  explicit CountingServer(
    Treatment aTreatment,
    const QHostAddress& aAddress = QHostAddress::LocalHost)
    : mTreatment(aTreatment)
  {
    mServer.listen(aAddress);
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
Await(const net::HttpCallRequest& aRequest)
{
  bool isDone = false;
  net::HttpOutcome result;
  QObject owner;
  net::Fetch(owner,
             aRequest,
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

net::HttpOutcome
PostAndWait(const QUrl& aUrl)
{
  return Await({ .mMethod = "POST", .mUrl = aUrl, .mBody = "body" });
}

/** Sends a call to a peer that reads it whole, sends bytes and then ends its
 * connection in some way. */
net::HttpOutcome
FetchFrom(const std::string& aBytes,
          const std::function<void(net::tests::LoopbackPeer&)>& aEnd)
{
  net::tests::LoopbackPeer peer;
  std::thread server([&] {
    peer.Accept();
    peer.ReadUntil("\r\n\r\n");
    peer.Send(aBytes);
    // Lets the call read the bytes before the end arrives.
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    aEnd(peer);
  });
  const QString url = QStringLiteral("http://127.0.0.1:%1/").arg(peer.Port());
  const net::HttpOutcome outcome = Await({ .mUrl = QUrl(url) });
  server.join();
  return outcome;
}

net::HttpOutcome
FetchClosed(const std::string& aBytes)
{
  return FetchFrom(aBytes, [](auto& aPeer) { aPeer.Close(); });
}

}

TEST_GROUP(HttpCall){};

TEST(HttpCall, APostWithoutAnAnswerArrivesOnce)
{
  CountingServer server(Treatment::CloseWithoutAnswer);

  const auto outcome = PostAndWait(server.Url());

  CHECK_FALSE(outcome.mIsComplete);
  CHECK(outcome.mIsSent);
  CHECK_EQUAL(1, server.Arrivals());
}

TEST(HttpCall, APostCutInsideTheStatusLineArrivesOnce)
{
  CountingServer server(Treatment::CloseInsideStatusLine);

  const auto outcome = PostAndWait(server.Url());

  CHECK_FALSE(outcome.mIsComplete);
  CHECK_EQUAL(1, server.Arrivals());
}

TEST(HttpCall, APostOnAReusedConnectionArrivesOnce)
{
  CountingServer server(Treatment::AnswerThenCloseNext);

  const auto first = PostAndWait(server.Url());
  const auto second = PostAndWait(server.Url());

  CHECK(first.mIsComplete);
  CHECK_FALSE(second.mIsComplete);
  CHECK_EQUAL(2, server.Arrivals());
}

TEST(HttpCall, ACutAnswerIsNotComplete)
{
  for (const Treatment treatment :
       { Treatment::CutBody, Treatment::CloseInsideStatusLine }) {
    CountingServer server(treatment);

    const auto outcome = PostAndWait(server.Url());

    CHECK_FALSE(outcome.mIsComplete);
    CHECK_EQUAL(1, server.Arrivals());
  }
}

TEST(HttpCall, AWholeAnswerWithAnErrorStatusIsComplete)
{
  CountingServer server(Treatment::ServerError);

  const auto outcome = PostAndWait(server.Url());

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

  const auto outcome = PostAndWait(url);

  CHECK_FALSE(outcome.mIsComplete);
  CHECK_FALSE(outcome.mIsSent);
}

TEST(HttpCall, AnUnframedAnswerThatIsResetIsNotComplete)
{
  CHECK_FALSE(FetchFrom("HTTP/1.1 200 OK\r\n\r\npart", [](auto& aPeer) {
                aPeer.Reset();
              }).mIsComplete);
}

TEST(HttpCall, AnUnframedAnswerThatEndsIsComplete)
{
  CHECK(FetchClosed("HTTP/1.1 200 OK\r\n\r\nwhole").mIsComplete);
}

TEST(HttpCall, AChunkedAnswerThatEndsEarlyIsNotComplete)
{
  CHECK_FALSE(
    FetchClosed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                "4\r\npart\r\n")
      .mIsComplete);
}

TEST(HttpCall, AnInvalidStatusIsNoAnswer)
{
  for (const std::string status : { "000", "099", "600", "999", "20" }) {
    const auto outcome =
      FetchClosed("HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nok");
    CHECK_FALSE_TEXT(outcome.mIsComplete, status.c_str());
    LONGS_EQUAL_TEXT(0, outcome.mStatus, status.c_str());
  }
}

TEST(HttpCall, AHeadWithAnInvalidFieldNameIsNoAnswer)
{
  for (const std::string line : { "X Y: 1",
                                  "X\tY: 1",
                                  " X: 1",
                                  "\tX: 1",
                                  "X\x01Y: 1",
                                  "X : 1",
                                  ": 1",
                                  "X" }) {
    const auto outcome =
      FetchClosed("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + line +
                  "\r\nContent-Length: 2\r\n\r\nok");
    CHECK_FALSE_TEXT(outcome.mIsComplete, line.c_str());
    LONGS_EQUAL_TEXT(0, outcome.mStatus, line.c_str());
  }
}

TEST(HttpCall, AnUnknownTransferCodingIsNoAnswer)
{
  const auto outcome =
    FetchClosed("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n"
                "Content-Length: 2\r\n\r\nokmore");
  CHECK_FALSE(outcome.mIsComplete);
}

TEST(HttpCall, AnInvalidAnswerMayHaveRun)
{
  CHECK(FetchClosed("HTTP/1.1 000 Odd\r\n\r\n").mIsSent);
  CHECK(FetchClosed("HTTP/1.1 200 OK\r\nX Y: 1\r\n\r\n").mIsSent);
}

TEST(HttpCall, AServerWithAHostNameIsFound)
{
  CountingServer server(Treatment::ServerError);
  QUrl url = server.Url();
  url.setHost(QStringLiteral("localhost"));

  CHECK(PostAndWait(url).mIsComplete);
}

TEST(HttpCall, AServerWithAnIpv6AddressIsReached)
{
  CountingServer server(Treatment::ServerError, QHostAddress::LocalHostIPv6);
  QUrl url = server.Url();
  url.setHost(QStringLiteral("::1"));

  CHECK(PostAndWait(url).mIsComplete);
}

TEST(HttpCall, AUrlThatIsNotOfHttpSendsNothing)
{
  const auto outcome = PostAndWait(QUrl(QStringLiteral("https://127.0.0.1/")));

  CHECK_FALSE(outcome.mIsComplete);
  CHECK_FALSE(outcome.mIsSent);
}

TEST(HttpCall, ACallWithoutAnAnswerTimesOut)
{
  const net::tests::LoopbackPeer silent;
  const QString url = QStringLiteral("http://127.0.0.1:%1/").arg(silent.Port());
  bool isDone = false;
  net::HttpOutcome outcome;
  net::HttpCall call({ .mUrl = QUrl(url) }, std::chrono::milliseconds(300));
  call.SetOnEnd([&](const net::HttpOutcome& aOutcome) {
    outcome = aOutcome;
    isDone = true;
  });

  while (!isDone) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
  }

  CHECK(outcome.mIsTimedOut);
  CHECK(outcome.mIsSent);
  CHECK_FALSE(outcome.mIsComplete);
}

TEST(HttpCall, AnAnswerThatIsNotReadIsHeldBack)
{
  constexpr qint64 kLimit = 64 * 1024;
  constexpr size_t kAnswerBytes = 32 * 1024 * 1024;
  net::tests::LoopbackPeer peer;
  std::thread server([&] {
    peer.Accept();
    peer.ReadUntil("\r\n\r\n");
    peer.Send(
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kAnswerBytes) +
      "\r\n\r\n" + std::string(kAnswerBytes, 'x'));
    peer.Close();
  });
  const QString url = QStringLiteral("http://127.0.0.1:%1/").arg(peer.Port());
  net::HttpCall call({ .mUrl = QUrl(url), .mReadBufferBytes = kLimit },
                     std::chrono::seconds(10));
  std::optional<net::HttpOutcome> outcome;
  call.SetOnEnd([&](const net::HttpOutcome& aOutcome) { outcome = aOutcome; });

  while (call.Readable() < kLimit) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
  }
  for (int i = 0; i < 20; ++i) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
  }
  CHECK(call.Readable() < 2 * kLimit);
  CHECK_FALSE(outcome.has_value());
  size_t bytes = 0;
  while (!outcome || call.Readable() > 0) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
    bytes += static_cast<size_t>(call.Read(kLimit).size());
  }
  server.join();

  CHECK(outcome->mIsComplete);
  CHECK_EQUAL(kAnswerBytes, bytes);
}
