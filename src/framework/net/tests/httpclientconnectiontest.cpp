#include "framework/net/httpclientconnection.h"
#include "framework/net/tests/loopbackpeer.h"

#include <CppUTest/TestHarness.h>
#include <QCoreApplication>
#include <QDeadlineTimer>

using namespace beryllever;
using net::AnswerEnd;

namespace {

constexpr std::chrono::milliseconds kTimeout{ 5000 };
/** More than the buffers of both ends take. */
constexpr size_t kLongBodyBytes = 32 * 1024 * 1024;

}

TEST_GROUP(HttpClientConnection)
{
  /** The peer and what was seen of its answer; one a connection. */
  struct Seen
  {
    net::tests::LoopbackPeer mPeer;
    std::shared_ptr<net::HttpClientConnection> mConnection;
    int mHeads = 0;
    std::string mBody;
    std::optional<AnswerEnd> mEnd;
  };

  template<typename Condition>
  static void ProcessEventsUntil(Condition aCondition)
  {
    const QDeadlineTimer deadline(kTimeout);
    while (!aCondition() && !deadline.hasExpired()) {
      QCoreApplication::processEvents(QEventLoop::AllEvents, 1);
    }
  }

  static void Send(Seen & aSeen, const std::string& aRequest, bool aIsHead)
  {
    aSeen.mConnection =
      net::HttpClientConnection::Connect({ "127.0.0.1", aSeen.mPeer.Port() });
    aSeen.mPeer.Accept();
    ProcessEventsUntil([&] { return aSeen.mConnection->IsConnected(); });
    aSeen.mConnection->Send(
      aRequest,
      { .mOnHead = [&](const net::AnswerHead&) { ++aSeen.mHeads; },
        .mOnBody = [&](std::string_view aBytes) { aSeen.mBody += aBytes; },
        .mOnEnd = [&](AnswerEnd aEnd) { aSeen.mEnd = aEnd; } },
      aIsHead);
  }

  static void AwaitEnd(Seen & aSeen)
  {
    ProcessEventsUntil([&] { return aSeen.mEnd.has_value(); });
    CHECK(aSeen.mEnd.has_value());
  }

  static void SendLongRequest(Seen & aSeen)
  {
    Send(aSeen,
         "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
           std::to_string(kLongBodyBytes) + "\r\n\r\n" +
           std::string(kLongBodyBytes, 'x'),
         false);
    aSeen.mPeer.ReadUntil("\r\n\r\n");
  }
};

TEST(HttpClientConnection, AnUnframedAnswerResetDuringTheUploadIsCut)
{
  Seen seen;
  SendLongRequest(seen);
  seen.mPeer.Send("HTTP/1.1 200 OK\r\n\r\npart");
  seen.mPeer.Reset();

  AwaitEnd(seen);

  CHECK(AnswerEnd::Cut == *seen.mEnd);
  STRCMP_EQUAL("part", seen.mBody.c_str());
}

TEST(HttpClientConnection, AnUnframedAnswerThatEndsDuringTheUploadIsComplete)
{
  Seen seen;
  SendLongRequest(seen);
  seen.mPeer.Send("HTTP/1.1 200 OK\r\n\r\nwhole");
  seen.mPeer.FinishSending();

  AwaitEnd(seen);

  CHECK(AnswerEnd::Complete == *seen.mEnd);
  STRCMP_EQUAL("whole", seen.mBody.c_str());
}

TEST(HttpClientConnection, AFramedAnswerBeforeAResetDuringTheUploadIsComplete)
{
  for (const std::string answer :
       { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
         "5\r\nwhole\r\n0\r\n\r\n" }) {
    Seen seen;
    SendLongRequest(seen);
    seen.mPeer.Send(answer);
    seen.mPeer.Reset();

    AwaitEnd(seen);

    CHECK(AnswerEnd::Complete == *seen.mEnd);
    STRCMP_EQUAL("whole", seen.mBody.c_str());
  }
}

TEST(HttpClientConnection, AFramedAnswerCutByAResetDuringTheUploadIsCut)
{
  for (const std::string answer :
       { "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\npart",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
         "4\r\npart\r\n" }) {
    Seen seen;
    SendLongRequest(seen);
    seen.mPeer.Send(answer);
    seen.mPeer.Reset();

    AwaitEnd(seen);

    CHECK(AnswerEnd::Cut == *seen.mEnd);
  }
}
