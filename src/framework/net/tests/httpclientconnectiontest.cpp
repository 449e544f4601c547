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

const std::string kRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

const std::vector<std::string> kInvalidStatuses{ "000",  "001", "099",
                                                 "600",  "999", "20",
                                                 "2000", "2x0", "" };

/** Lines of a head whose field name is none. */
const std::vector<std::string> kInvalidLines{
  "X Y: 1",
  "X\tY: 1",
  " X: 1",
  "\tX: 1",
  "X : 1",
  "Content Length: 2",
  "Content-Length : 2",
  "Transfer-Encoding\x0b: chunked",
  std::string("X\0Y: 1", 6),
  "X\x01Y: 1",
  "X\x1fY: 1",
  "X\rY: 1",
  "X\x7f"
  "Y: 1",
  "X\x80Y: 1",
  "X(Y): 1",
  ": 1",
  "X",
};

/** Transfer codings that say nothing on where the body ends, or that the
 * request did not allow. */
const std::vector<std::string> kUnknownCodings{
  "Transfer-Encoding: gzip\r\n",
  "Transfer-Encoding: gzip, chunked\r\n",
  "Transfer-Encoding: chunked, gzip\r\n",
  "Transfer-Encoding: identity\r\n",
  "Transfer-Encoding: xchunked\r\n",
  "Transfer-Encoding: \r\n",
  "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
  "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
  "Transfer-Encoding: gzip\r\nContent-Length: 2\r\n",
  "Content-Length: 2\r\nTransfer-Encoding: gzip\r\n",
};

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

  /** Sends an answer in one piece, or byte by byte, and closes in order. */
  static void Answer(Seen & aSeen,
                     const std::string& aAnswer,
                     bool aIsInOnePiece,
                     bool aIsHead = false)
  {
    Send(aSeen, kRequest, aIsHead);
    aSeen.mPeer.ReadUntil("\r\n\r\n");
    if (aIsInOnePiece) {
      aSeen.mPeer.Send(aAnswer);
    } else {
      for (const char c : aAnswer) {
        aSeen.mPeer.Send({ &c, 1 });
        QCoreApplication::processEvents(QEventLoop::AllEvents, 1);
      }
    }
    aSeen.mPeer.Close();
    AwaitEnd(aSeen);
  }

  static void CheckIsNoAnswer(const std::string& aAnswer, bool aIsHead = false)
  {
    for (const bool isInOnePiece : { true, false }) {
      Seen seen;
      Answer(seen, aAnswer, isInOnePiece, aIsHead);
      LONGS_EQUAL_TEXT(0, seen.mHeads, aAnswer.c_str());
      STRCMP_EQUAL_TEXT(net::NameOf(AnswerEnd::Garbled).data(),
                        net::NameOf(*seen.mEnd).data(),
                        aAnswer.c_str());
    }
  }

  static void CheckIsAnswer(const std::string& aAnswer,
                            const std::string& aBody)
  {
    for (const bool isInOnePiece : { true, false }) {
      Seen seen;
      Answer(seen, aAnswer, isInOnePiece);
      LONGS_EQUAL_TEXT(1, seen.mHeads, aAnswer.c_str());
      STRCMP_EQUAL_TEXT(net::NameOf(AnswerEnd::Complete).data(),
                        net::NameOf(*seen.mEnd).data(),
                        aAnswer.c_str());
      STRCMP_EQUAL(aBody.c_str(), seen.mBody.c_str());
    }
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

TEST(HttpClientConnection, AnInvalidStatusIsNoAnswer)
{
  for (const std::string& status : kInvalidStatuses) {
    CheckIsNoAnswer("HTTP/1.1 " + status +
                    " Odd\r\nContent-Length: 2\r\n\r\nok");
  }
}

TEST(HttpClientConnection, AnInvalidStatusAfterAnInterimAnswerIsNoAnswer)
{
  for (const std::string& status : kInvalidStatuses) {
    CheckIsNoAnswer("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 " + status +
                    " Odd\r\nContent-Length: 2\r\n\r\nok");
  }
}

TEST(HttpClientConnection, AnInvalidStatusIsNoAnswerToAHeadRequest)
{
  for (const std::string& status : kInvalidStatuses) {
    CheckIsNoAnswer("HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\n",
                    true);
  }
}

TEST(HttpClientConnection, AHeadWithAnInvalidFieldNameIsNoAnswer)
{
  for (const std::string& line : kInvalidLines) {
    CheckIsNoAnswer("HTTP/1.1 200 OK\r\n" + line +
                    "\r\nContent-Length: 2\r\n\r\nok");
    CheckIsNoAnswer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + line +
                    "\r\n\r\nok");
  }
}

TEST(HttpClientConnection, AnInterimAnswerWithAnInvalidFieldNameIsNoAnswer)
{
  for (const std::string& line : kInvalidLines) {
    CheckIsNoAnswer("HTTP/1.1 103 Early Hints\r\nA: b\r\n" + line +
                    "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  }
}

TEST(HttpClientConnection, AnInvalidFieldNameIsNoAnswerToAHeadRequest)
{
  for (const std::string& line : kInvalidLines) {
    CheckIsNoAnswer(
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + line + "\r\n\r\n", true);
  }
}

TEST(HttpClientConnection, AFoldedFieldIsNoAnswer)
{
  for (const std::string fold : { "\r\n b", "\r\n\tb", "\r\n \r\n b" }) {
    CheckIsNoAnswer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: a" + fold +
                    "\r\n\r\nok");
    CheckIsNoAnswer("HTTP/1.1 200 OK\r\nX:" + fold +
                    "\r\nContent-Length: 2\r\n\r\nok");
  }
}

TEST(HttpClientConnection, AnUnknownTransferCodingIsNoAnswer)
{
  for (const std::string& coding : kUnknownCodings) {
    const std::string answer =
      "HTTP/1.1 200 OK\r\n" + coding + "\r\n2\r\nok\r\n0\r\n\r\n";
    CheckIsNoAnswer(answer);
    CheckIsNoAnswer(answer, true);
  }
}

TEST(HttpClientConnection, ABodyThatLooksLikeAFoldedFieldIsABody)
{
  const std::string body = "a\r\n b\r\n\r\n c";
  CheckIsAnswer("HTTP/1.1 200 OK\r\nContent-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body,
                body);
  CheckIsAnswer("HTTP/1.1 200 OK\r\n\r\n\r\n b", "\r\n b");
  CheckIsAnswer("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n b", " b");
}

TEST(HttpClientConnection, AChunkedAnswerIsAnAnswer)
{
  for (const std::string coding : { "chunked", "Chunked", " \tchunked \t" }) {
    CheckIsAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding:" + coding +
                    "\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                  "ok");
  }
}

TEST(HttpClientConnection, AnAnswerWithEmptyAndUnusualFieldsIsAnAnswer)
{
  CheckIsAnswer("HTTP/1.1 200 OK\r\nX:\r\nY: \r\n!#$%&'*+-.^_`|~1a: b\r\n"
                "Content-Length: 2\r\n\r\nok",
                "ok");
}

TEST(HttpClientConnection, StatusesOfEachClassAreAnswers)
{
  for (const std::string status : { "200", "299", "404", "500", "599" }) {
    CheckIsAnswer("HTTP/1.1 " + status + " Any\r\nContent-Length: 2\r\n\r\nok",
                  "ok");
  }
}
