#include "framework/net/tcpsocket.h"
#include "framework/net/tests/loopbackpeer.h"

#include <CppUTest/TestHarness.h>
#include <QCoreApplication>
#include <QDeadlineTimer>
#include <optional>

using namespace beryllever;
using net::CloseReason;

namespace {

constexpr std::chrono::milliseconds kTimeout{ 5000 };
/** More than the buffers of both ends take. */
constexpr size_t kLongWriteBytes = 32 * 1024 * 1024;
/** More than one read takes, and less than a receive window. */
constexpr size_t kUnreadBytes = 40 * 1000;

}

TEST_GROUP(TcpSocket)
{
  net::tests::LoopbackPeer mPeer;
  std::shared_ptr<net::TcpSocket> mSocket;
  std::string mReceived;
  std::optional<CloseReason> mReason;

  template<typename Condition>
  void ProcessEventsUntil(Condition aCondition)
  {
    const QDeadlineTimer deadline(kTimeout);
    while (!aCondition() && !deadline.hasExpired()) {
      QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
    }
  }

  void Connect()
  {
    mSocket = net::TcpSocket::Connecting({ "127.0.0.1", mPeer.Port() });
    mSocket->SetHandlers(
      { .mOnConnected = {},
        .mOnData =
          [this](std::string_view aBytes) { mReceived.append(aBytes); },
        .mOnDrained = {},
        .mOnClosed = [this](CloseReason aReason) { mReason = aReason; } });
    mPeer.Accept();
    ProcessEventsUntil([this] { return mSocket->IsConnected(); });
  }

  /** Connects and writes more than the peer takes. */
  void ConnectAndWrite()
  {
    Connect();
    mSocket->Write(std::string(kLongWriteBytes, 'x'));
    CHECK(mSocket->Pending() > 0);
  }

  void CheckClosed(CloseReason aReason)
  {
    ProcessEventsUntil([this] { return mReason.has_value(); });
    CHECK(mReason.has_value());
    CHECK(aReason == *mReason);
  }
};

TEST(TcpSocket, AResetThatAWriteMeetsFirstIsNoEnd)
{
  ConnectAndWrite();
  mPeer.Send("part");
  mPeer.Reset();

  mSocket->Write("more");

  CheckClosed(CloseReason::Reset);
  STRCMP_EQUAL("part", mReceived.c_str());
}

TEST(TcpSocket, AResetThatAWriteMeetsWhileBytesAreUnreadIsNoEnd)
{
  const std::string part(kUnreadBytes, 'p');
  ConnectAndWrite();
  mSocket->SetReading(false);
  mPeer.Send(part);
  mPeer.Reset();

  mSocket->Write("more");

  CheckClosed(CloseReason::Reset);
  CHECK(part == mReceived);
}

TEST(TcpSocket, AResetDuringAWriteIsNoEnd)
{
  ConnectAndWrite();
  mPeer.Send("part");
  mPeer.Reset();

  CheckClosed(CloseReason::Reset);
  STRCMP_EQUAL("part", mReceived.c_str());
}

TEST(TcpSocket, AResetWithNothingToWriteIsNoEnd)
{
  Connect();
  mPeer.Send("part");
  mPeer.Reset();

  CheckClosed(CloseReason::Reset);
  STRCMP_EQUAL("part", mReceived.c_str());
}

TEST(TcpSocket, AnEndIsAnEndThoughAWriteMeetsALaterReset)
{
  ConnectAndWrite();
  mPeer.Send("whole");
  mPeer.FinishSending();
  mPeer.Reset();

  mSocket->Write("more");

  CheckClosed(CloseReason::Finished);
  STRCMP_EQUAL("whole", mReceived.c_str());
}

TEST(TcpSocket, AnEndDuringAWriteIsAnEnd)
{
  ConnectAndWrite();
  mPeer.Send("whole");
  mPeer.FinishSending();

  CheckClosed(CloseReason::Finished);
  STRCMP_EQUAL("whole", mReceived.c_str());
}
