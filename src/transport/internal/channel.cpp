#include "transport/channel.h"

namespace beryllever::transport {

namespace {

constexpr int kMaxMessageBytes = 64 * 1024 * 1024;
constexpr int kStreamWindowBytes = 16 * 1024;
constexpr int kKeepaliveMilliseconds = 5000;
constexpr int kKeepaliveTimeoutMilliseconds = 2000;
constexpr int kMinBackoffMilliseconds = 100;
constexpr int kMaxBackoffMilliseconds = 1000;

std::string
TargetFor(const std::string& aAddress)
{
  const bool isV6 = aAddress.starts_with("[");
  return (isV6 ? "ipv6:" : "ipv4:") + aAddress;
}

}

std::shared_ptr<grpc::Channel>
MakeChannel(const std::string& aAddress)
{
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
  arguments.SetInt(GRPC_ARG_HTTP2_STREAM_LOOKAHEAD_BYTES, kStreamWindowBytes);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepaliveMilliseconds);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS,
                   kKeepaliveTimeoutMilliseconds);
  arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                   kMinBackoffMilliseconds);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMinBackoffMilliseconds);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxBackoffMilliseconds);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
  return grpc::CreateCustomChannel(
    TargetFor(aAddress), grpc::InsecureChannelCredentials(), arguments);
}

}
