#pragma once

#include "framework/net/tcpsocket.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>

namespace beryllever::net {

namespace http = boost::beast::http;

/** Status and header fields of an answer. */
struct AnswerHead
{
  unsigned mStatus = 0;
  http::fields mFields;
  /** Length of the body, if it is stated. */
  std::optional<uint64_t> mLength;
  bool mIsChunked = false;
  /** Whether another request may follow on the connection. */
  bool mIsKeepAlive = false;
};

/** How a request on a connection ended. */
enum class AnswerEnd
{
  /** The whole answer is here. */
  Complete,
  /** No byte of the request has left, so it cannot have run. */
  NotSent,
  /** The connection broke before an answer began. */
  NoAnswer,
  /** The answer broke off. */
  Cut,
  /** The bytes are no answer in the protocol. */
  Garbled,
};

std::string_view
NameOf(AnswerEnd aEnd);

/** Text of a message's head: its start line, its fields and an empty line. */
std::string
HeadText(std::string_view aStartLine, const http::fields& aFields);

/**
 * Client side of one HTTP/1.1 connection, one request at a time. It never
 * sends a request again by itself and hands bodies on as they arrive.
 */
class HttpClientConnection
  : public std::enable_shared_from_this<HttpClientConnection>
{
public:
  struct Handlers
  {
    std::function<void(const AnswerHead&)> mOnHead;
    std::function<void(std::string_view)> mOnBody;
    std::function<void(AnswerEnd)> mOnEnd;
  };

  /** Starts to connect at once. */
  static std::shared_ptr<HttpClientConnection> Connect(
    const TcpAddress& aAddress);

  /** Sends a request, once connected. The handlers are let go at its end. The
   * answer to a HEAD request has no body. */
  void Send(std::string aRequest, Handlers aHandlers, bool aIsHead = false);
  /** Reads the answer to a request again from its start: the one that came was
   * another request's. Only from within mOnEnd. */
  void AwaitNextAnswer(Handlers aHandlers);
  void SetReading(bool aIsReading) { mSocket->SetReading(aIsReading); }
  bool IsConnected() const { return mSocket->IsConnected(); }
  /** Whether the connection can carry another request. */
  bool IsReusable() const { return mIsReusable && mSocket->IsOpen(); }
  /** Drops the connection and the request on it; no handler is called. */
  void Abort();
  /** Called if the peer closes the connection while no request is on it. */
  void SetOnIdleClosed(std::function<void()> aOnIdleClosed)
  {
    mOnIdleClosed = std::move(aOnIdleClosed);
  }

private:
  using Parser = http::response_parser<http::string_body>;

  explicit HttpClientConnection(std::shared_ptr<TcpSocket> aSocket);

  void Attach();
  void HandleData(std::string_view aBytes);
  void Parse();
  bool TakeHead();
  void TakeBody();
  void HandleClosed(CloseReason aReason);
  void ResetParser();
  void End(AnswerEnd aEnd);

  std::shared_ptr<TcpSocket> mSocket;
  std::unique_ptr<Parser> mParser;
  std::string mInput;
  Handlers mHandlers;
  std::function<void()> mOnIdleClosed;
  /** Answers of status 1xx to the request so far. */
  int mInterimAnswers = 0;
  bool mIsBusy = false;
  bool mHasHead = false;
  bool mHasBytes = false;
  bool mIsReusable = false;
  bool mIsKeepAlive = false;
  bool mIsHeadRequest = false;
};

}
