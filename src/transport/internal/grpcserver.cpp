#include "transport/grpcserver.h"

#include <QCoreApplication>
#include <future>

namespace beryllever::transport {

namespace {

constexpr int kStreamWindowBytes = 16 * 1024;
constexpr int kMinPingIntervalMilliseconds = 1000;
constexpr int kKeepaliveMilliseconds = 5000;
constexpr int kKeepaliveTimeoutMilliseconds = 2000;
/** Time in which calls may end by themselves when the process stops. */
constexpr std::chrono::milliseconds kStopTime{ 100 };
constexpr std::chrono::milliseconds kStopPoll{ 5 };

}

GrpcServer::~GrpcServer()
{
  Stop();
}

void
GrpcServer::Add(std::shared_ptr<grpc::Service> aService)
{
  mServices.push_back(std::move(aService));
}

bool
GrpcServer::Start(const std::string& aAddress)
{
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort(aAddress, grpc::InsecureServerCredentials(), &port);
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddChannelArgument(GRPC_ARG_HTTP2_BDP_PROBE, 0);
  builder.AddChannelArgument(GRPC_ARG_HTTP2_STREAM_LOOKAHEAD_BYTES,
                             kStreamWindowBytes);
  builder.AddChannelArgument(
    GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
    kMinPingIntervalMilliseconds);
  builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
  builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS,
                             kKeepaliveMilliseconds);
  builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS,
                             kKeepaliveTimeoutMilliseconds);
  for (const auto& service : mServices) {
    builder.RegisterService(service.get());
  }
  mServer = builder.BuildAndStart();
  return mServer && port != 0;
}

void
GrpcServer::Stop()
{
  if (!mServer) {
    return;
  }
  // Calls that have arrived wait for this thread, and the server for them.
  const auto stopped =
    std::async(std::launch::async, [server = std::move(mServer)] {
      server->Shutdown(std::chrono::system_clock::now() + kStopTime);
    });
  while (stopped.wait_for(kStopPoll) != std::future_status::ready) {
    QCoreApplication::processEvents();
  }
}

}
