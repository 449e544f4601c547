#include "transport/grpcserver.h"
#include "mesh.grpc.pb.h"
#include "transport/channel.h"
#include "transport/post.h"

#include <CppUTest/TestHarness.h>
#include <QCoreApplication>
#include <QTcpServer>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <thread>

using namespace beryllever;

namespace {

constexpr std::chrono::seconds kPatience{ 5 };

/** Answers on the thread of its context, as the product's services do. */
class PostingMesh : public mesh::v1::Mesh::CallbackService
{
public:
  grpc::ServerUnaryReactor* Gossip(grpc::CallbackServerContext* aContext,
                                   const mesh::v1::GossipRequest*,
                                   mesh::v1::GossipReply*) override
  {
    grpc::ServerUnaryReactor* const reactor = aContext->DefaultReactor();
    transport::Post(&mContext,
                    [reactor] { reactor->Finish(grpc::Status::OK); });
    mHasArrived = true;
    return reactor;
  }

  QObject mContext;
  std::atomic<bool> mHasArrived = false;
};

/** Ends the program if something takes too long. */
class Watchdog
{
public:
  explicit Watchdog(const char* aWhat)
    : mThread([this, aWhat] {
      std::unique_lock lock(mMutex);
      if (!mIsOver.wait_for(lock, kPatience, [this] { return mIsDone; })) {
        std::fprintf(stderr, "%s takes too long\n", aWhat);
        std::_Exit(1);
      }
    })
  {
  }

  ~Watchdog()
  {
    {
      const std::lock_guard lock(mMutex);
      mIsDone = true;
    }
    mIsOver.notify_all();
    mThread.join();
  }

private:
  std::mutex mMutex;
  std::condition_variable mIsOver;
  bool mIsDone = false;
  std::thread mThread;
};

std::string
FreeAddress()
{
  QTcpServer server;
  server.listen(QHostAddress::LocalHost);
  return "127.0.0.1:" + std::to_string(server.serverPort());
}

}

TEST_GROUP(GrpcServer){};

// The event loop has ended by the time that the server stops; calls that wait
// for it must not keep the process alive.
TEST(GrpcServer, StopsWhileACallWaitsForTheControlThread)
{
  // Arrange
  const auto service = std::make_shared<PostingMesh>();
  const std::string address = FreeAddress();
  transport::GrpcServer server;
  server.Add(service);
  CHECK(server.Start(address));
  const auto stub = mesh::v1::Mesh::NewStub(transport::MakeChannel(address));
  std::thread caller([&] {
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + kPatience);
    mesh::v1::GossipReply reply;
    stub->Gossip(&context, {}, &reply);
  });
  while (!service->mHasArrived) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }

  // Act
  {
    const Watchdog watchdog("stopping the server");
    server.Stop();
  }

  caller.join();
}
