#include "gateway/internal/pageserver.h"

namespace beryllever::gateway {

PageServer::PageServer(const global::IClock& aClock, Handler aHandler)
  : mClock(aClock)
  , mHandler(std::move(aHandler))
{
}

bool
PageServer::Listen(const net::TcpAddress& aAddress)
{
  return mListener.Listen(aAddress,
                          [this](auto aSocket) { Accept(std::move(aSocket)); });
}

void
PageServer::Accept(std::shared_ptr<net::TcpSocket> aSocket)
{
  const uint64_t id = ++mLastId;
  const auto connection = std::make_shared<net::HttpServerConnection>(
    std::move(aSocket), mClock, [] { return net::ServerLimits{}; });
  mConnections[id] = connection;
  connection->Start(
    { .mOnRequest =
        [this, id](const net::ServerRequest& aRequest) {
          const PageResponse response = mHandler(aRequest);
          net::http::fields fields;
          fields.set(net::http::field::content_type, response.mContentType);
          const auto connection = mConnections[id];
          connection->Answer(
            response.mStatus, std::move(fields), response.mBody);
        },
      .mOnGone = [this, id] { mConnections.erase(id); },
      .mOnDrained = {},
      .mOnRefused = {} });
}

}
