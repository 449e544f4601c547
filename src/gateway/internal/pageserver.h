#pragma once

#include "framework/net/httpserverconnection.h"

#include <map>

namespace beryllever::gateway {

/** HTTP response with a page. */
struct PageResponse
{
  unsigned mStatus = 200;
  std::string mContentType = "text/plain";
  std::string mBody;
};

/** HTTP server for small pages, on the control thread. */
class PageServer
{
public:
  using Handler = std::function<PageResponse(const net::ServerRequest&)>;

  PageServer(const global::IClock& aClock, Handler aHandler);

  bool Listen(const net::TcpAddress& aAddress);
  void Close() { mListener.Close(); }

private:
  void Accept(std::shared_ptr<net::TcpSocket> aSocket);

  const global::IClock& mClock;
  Handler mHandler;
  net::TcpListener mListener;
  std::map<uint64_t, std::shared_ptr<net::HttpServerConnection>> mConnections;
  uint64_t mLastId = 0;
};

}
