#include "agent/internal/execution.h"

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

constexpr std::chrono::milliseconds kPatience{ 5000 };

/** Back end on a thread of its own: answers a part, and the rest on demand. */
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
    server.waitForNewConnection(static_cast<int>(kPatience.count()));
    const std::unique_ptr<QTcpSocket> socket(server.nextPendingConnection());
    if (!socket) {
      return;
    }
    socket->waitForReadyRead(static_cast<int>(kPatience.count()));
    socket->write("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\npart");
    socket->waitForBytesWritten();
    {
      std::unique_lock lock(mMutex);
      mChanged.wait_for(lock, kPatience, [this] { return mMayFinish; });
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
TurnUntil(Condition aCondition)
{
  const QDeadlineTimer deadline(kPatience);
  while (!aCondition() && !deadline.hasExpired()) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
  }
  return aCondition();
}

}

TEST_GROUP(Execution){};

TEST(Execution, TakesNoEndOfTheBackEndOnceItIsOver)
{
  // Arrange: an execution that has begun to pass an answer on.
  SlowBackEnd backEnd;
  const global::SteadyClock clock;
  QNetworkAccessManager manager;
  QObject thread;
  tracing::Tracer tracer("test");
  const ExecutionContext context{ clock,
                                  manager,
                                  &thread,
                                  tracer,
                                  "http://127.0.0.1:" +
                                    std::to_string(backEnd.Port()),
                                  {} };
  int ends = 0;
  const ExecutionEvents events{ .mOnEnd = [&](const ExecutionResult&) {
    ++ends;
    // The rest of the answer and its end arrive before the call is deleted.
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
    events);
  execution->Start();
  CHECK(TurnUntil([&] { return stream->Depth() > 0; }));

  // Act: the caller goes away, and the back end ends its answer meanwhile.
  stream->OnCancel();
  CHECK(TurnUntil([&] { return ends > 0; }));
  for (int i = 0; i < 20; ++i) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
  }

  LONGS_EQUAL(1, ends);
}
