#include "agent/internal/execution.h"
#include "framework/net/tests/loopbackpeer.h"

#include <CppUTest/TestHarness.h>
#include <QCoreApplication>
#include <QDeadlineTimer>
#include <QTcpServer>
#include <QTcpSocket>
#include <QThread>
#include <condition_variable>
#include <mutex>

using namespace beryllever;
using namespace beryllever::agent;

namespace {

constexpr std::chrono::milliseconds kTimeout{ 5000 };

/** Back end on its own thread. Sends the first half of a response, and the
 * second half on request. */
class SlowBackEnd : public QThread
{
public:
  SlowBackEnd()
  {
    start();
    std::unique_lock lock(mMutex);
    mChanged.wait(lock, [this] { return mPort != 0; });
  }

  ~SlowBackEnd() override
  {
    FinishAnswer();
    wait();
  }

  int Port() const { return mPort; }

  void FinishAnswer()
  {
    const std::lock_guard lock(mMutex);
    mMayFinish = true;
    mChanged.notify_all();
  }

protected:
  void run() override
  {
    QTcpServer server;
    server.listen(QHostAddress::LocalHost);
    {
      const std::lock_guard lock(mMutex);
      mPort = server.serverPort();
      mChanged.notify_all();
    }
    server.waitForNewConnection(static_cast<int>(kTimeout.count()));
    const std::unique_ptr<QTcpSocket> socket(server.nextPendingConnection());
    if (!socket) {
      return;
    }
    socket->waitForReadyRead(static_cast<int>(kTimeout.count()));
    socket->write("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\npart");
    socket->waitForBytesWritten();
    {
      std::unique_lock lock(mMutex);
      mChanged.wait_for(lock, kTimeout, [this] { return mMayFinish; });
    }
    socket->write("rest");
    socket->waitForBytesWritten();
    socket->disconnectFromHost();
  }

private:
  std::mutex mMutex;
  std::condition_variable mChanged;
  int mPort = 0;
  bool mMayFinish = false;
};

template<typename Condition>
bool
ProcessEventsUntil(Condition aCondition)
{
  const QDeadlineTimer deadline(kTimeout);
  while (!aCondition() && !deadline.hasExpired()) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
  }
  return aCondition();
}

}

TEST_GROUP(Execution){};

// Guards against a second end of an execution: the reader disconnects, and the
// response completes before the call to the back end is deleted.
TEST(Execution, IgnoresTheEndOfTheResponseAfterItHasFinished)
{
  // Arrange: an execution that has forwarded the first half of a response.
  SlowBackEnd backEnd;
  const global::SteadyClock clock;
  QObject thread;
  tracing::Tracer tracer("test");
  net::ConnectionLimit connections(1);
  const ExecutionContext context{ clock,
                                  connections,
                                  &thread,
                                  tracer,
                                  "http://127.0.0.1:" +
                                    std::to_string(backEnd.Port()),
                                  {} };
  int ends = 0;
  const ExecutionCallbacks callbacks{ .mOnEnd = [&](const ExecutionResult&) {
    ++ends;
    // The second half of the response arrives before the call is deleted.
    backEnd.FinishAnswer();
    backEnd.wait();
    QThread::msleep(50);
  } };
  const auto stream = ExecuteStream::Make(&thread);
  v1::ExecuteRequest request;
  request.set_kind("assignment");
  const auto execution = std::make_shared<Execution>(
    context,
    request,
    stream,
    std::chrono::system_clock::now() + std::chrono::seconds(10),
    callbacks);
  execution->Start();
  CHECK(ProcessEventsUntil([&] { return stream->Depth() > 0; }));

  // Act: the reader disconnects, and the response completes meanwhile.
  stream->OnCancel();
  CHECK(ProcessEventsUntil([&] { return ends > 0; }));
  for (int i = 0; i < 20; ++i) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
  }

  LONGS_EQUAL(1, ends);
}

TEST_GROUP(ExecutionOfABrokenAnswer)
{
  global::SteadyClock mClock;
  QObject mThread;
  tracing::Tracer mTracer{ "test" };

  /** Runs a streamed request at a back end that sends bytes and resets its
   * connection. */
  ExecutionResult Run(const std::string& aBytes)
  {
    net::tests::LoopbackPeer backEnd;
    std::thread server([&] {
      backEnd.Accept();
      backEnd.ReadUntil("\r\n\r\n");
      backEnd.Send(aBytes);
      // Lets the execution read the bytes before the reset arrives.
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      backEnd.Reset();
    });
    net::ConnectionLimit connections(1);
    const ExecutionContext context{ mClock,
                                    connections,
                                    &mThread,
                                    mTracer,
                                    "http://127.0.0.1:" +
                                      std::to_string(backEnd.Port()),
                                    {} };
    std::optional<ExecutionResult> result;
    const auto stream = ExecuteStream::Make(&mThread);
    v1::ExecuteRequest request;
    request.set_kind("chat");
    request.set_stream_id("stream");
    const auto execution = std::make_shared<Execution>(
      context,
      request,
      stream,
      std::chrono::system_clock::now() + std::chrono::seconds(10),
      ExecutionCallbacks{
        .mOnEnd = [&](const ExecutionResult& aResult) { result = aResult; } });
    execution->Start();
    CHECK(ProcessEventsUntil([&] { return result.has_value(); }));
    server.join();
    return *result;
  }
};

TEST(ExecutionOfABrokenAnswer, AStreamWithoutALengthThatIsResetIsNotComplete)
{
  const ExecutionResult result =
    Run("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
        "data: part\n\n");

  CHECK_FALSE(result.mIsComplete);
  CHECK(result.mIsSent);
}

TEST(ExecutionOfABrokenAnswer, AnInvalidStatusIsNotForwarded)
{
  for (const std::string status : { "000", "099", "600" }) {
    const ExecutionResult result =
      Run("HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nok");

    CHECK_FALSE(result.mIsComplete);
    CHECK(result.mIsSent);
    LONGS_EQUAL(0, result.mHttpStatus);
  }
}

TEST(ExecutionOfABrokenAnswer, AnInvalidFieldNameIsNotForwarded)
{
  for (const std::string line : { "X Y: 1", "X\x01Y: 1", " X: 1" }) {
    const ExecutionResult result =
      Run("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + line +
          "\r\nContent-Length: 2\r\n\r\nok");

    CHECK_FALSE(result.mIsComplete);
    CHECK(result.mIsSent);
    LONGS_EQUAL(0, result.mHttpStatus);
  }
}
