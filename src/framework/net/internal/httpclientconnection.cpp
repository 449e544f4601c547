#include "framework/net/httpclientconnection.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>

namespace beryllever::net {

namespace {

/** Bound on an answer's head; engines send a few hundred bytes. */
constexpr uint32_t kMaxHeadBytes = 64 * 1024;
/** Bound on bytes that the parser cannot take yet, such as a chunk's size line
 * or the trailer. */
constexpr size_t kMaxUnparsedBytes = 64 * 1024;
constexpr int kMaxInterimAnswers = 16;
/** Range of the statuses that the protocol defines; the parser accepts any
 * three digits. */
constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;

/** Whether a line of a head begins with a blank, and so continues the line
 * before it. The parser would join the two. */
bool
HasFoldedLine(std::string_view aHead)
{
  return aHead.find("\n ") != std::string_view::npos ||
         aHead.find("\n\t") != std::string_view::npos;
}

/** Whether the body is sent as it is or in chunks. No request allows another
 * transfer coding. The parser ignores such a one, and would look for the end of
 * the body by a length that does not count. */
bool
HasKnownTransferCoding(const http::fields& aFields)
{
  const size_t n = aFields.count(http::field::transfer_encoding);
  return n == 0 ||
         (n == 1 && boost::beast::iequals(
                      aFields[http::field::transfer_encoding], "chunked"));
}

}

std::string_view
NameOf(AnswerEnd aEnd)
{
  switch (aEnd) {
    case AnswerEnd::Complete:
      return "complete";
    case AnswerEnd::NotSent:
      return "not_sent";
    case AnswerEnd::NoAnswer:
      return "no_answer";
    case AnswerEnd::Cut:
      return "cut";
    case AnswerEnd::Garbled:
      return "garbled";
  }
  return "unknown";
}

std::string
HeadText(std::string_view aStartLine, const http::fields& aFields)
{
  std::string text(aStartLine);
  text += "\r\n";
  for (const auto& field : aFields) {
    text += field.name_string();
    text += ": ";
    text += field.value();
    text += "\r\n";
  }
  text += "\r\n";
  return text;
}

HttpClientConnection::HttpClientConnection(std::shared_ptr<TcpSocket> aSocket)
  : mSocket(std::move(aSocket))
{
}

std::shared_ptr<HttpClientConnection>
HttpClientConnection::Connect(const TcpAddress& aAddress)
{
  std::shared_ptr<HttpClientConnection> connection(
    new HttpClientConnection(TcpSocket::Connecting(aAddress)));
  connection->Attach();
  return connection;
}

void
HttpClientConnection::Attach()
{
  // The connection is kept by its user; a handler may let go of it.
  const std::weak_ptr<HttpClientConnection> weak = weak_from_this();
  mSocket->SetHandlers({ .mOnConnected = {},
                         .mOnData =
                           [weak](std::string_view aBytes) {
                             if (const auto self = weak.lock()) {
                               self->HandleData(aBytes);
                             }
                           },
                         .mOnDrained = {},
                         .mOnClosed =
                           [weak](CloseReason aReason) {
                             if (const auto self = weak.lock()) {
                               self->HandleClosed(aReason);
                             }
                           } });
}

void
HttpClientConnection::Send(std::string aRequest,
                           Handlers aHandlers,
                           bool aIsHead)
{
  mIsHeadRequest = aIsHead;
  mHandlers = std::move(aHandlers);
  mIsBusy = true;
  mIsReusable = false;
  mInterimAnswers = 0;
  ResetParser();
  if (!mSocket->IsOpen()) {
    End(AnswerEnd::NotSent);
    return;
  }
  mSocket->Write(aRequest);
}

void
HttpClientConnection::AwaitNextAnswer(Handlers aHandlers)
{
  mHandlers = std::move(aHandlers);
  mIsBusy = true;
  mIsReusable = false;
  mInterimAnswers = 0;
  ResetParser();
  if (!mInput.empty()) {
    Parse();
  }
}

void
HttpClientConnection::Abort()
{
  mHandlers = {};
  mIsBusy = false;
  mIsReusable = false;
  mOnIdleClosed = nullptr;
  mSocket->Abort();
}

void
HttpClientConnection::HandleData(std::string_view aBytes)
{
  if (!mIsBusy) {
    // Bytes that nobody asked for belong to no request.
    HandleClosed(CloseReason::Reset);
    mSocket->Abort();
    return;
  }
  mInput.append(aBytes);
  mHasBytes = true;
  Parse();
}

void
HttpClientConnection::Parse()
{
  while (mIsBusy && !mInput.empty()) {
    boost::system::error_code ec;
    const size_t n = mParser->put(boost::asio::buffer(mInput), ec);
    if (!mHasHead && HasFoldedLine(std::string_view(mInput).substr(0, n))) {
      End(AnswerEnd::Garbled);
      return;
    }
    mInput.erase(0, n);
    if (ec && ec != http::error::need_more) {
      End(mHasHead ? AnswerEnd::Cut : AnswerEnd::Garbled);
      return;
    }
    if (!mHasHead && mParser->is_header_done() && !TakeHead()) {
      continue;
    }
    TakeBody();
    if (mIsBusy && mParser->is_done()) {
      mIsReusable = mIsKeepAlive && mInput.empty();
      End(AnswerEnd::Complete);
      return;
    }
    if (mIsBusy && mInput.size() > kMaxUnparsedBytes) {
      End(AnswerEnd::Garbled);
      return;
    }
    if (ec == http::error::need_more || n == 0) {
      return;
    }
  }
}

bool
HttpClientConnection::TakeHead()
{
  const auto& message = mParser->get();
  const unsigned status = message.result_int();
  const bool isValidStatus = status >= kMinStatus && status <= kMaxStatus;
  if (!isValidStatus || !HasKnownTransferCoding(message.base())) {
    End(AnswerEnd::Garbled);
    return false;
  }
  if (status / 100 == 1) {
    if (++mInterimAnswers > kMaxInterimAnswers) {
      End(AnswerEnd::Garbled);
      return false;
    }
    const std::string rest = std::move(mInput);
    ResetParser();
    mInput = rest;
    return false;
  }
  mHasHead = true;
  mParser->eager(true);
  AnswerHead head{ status, message.base() };
  head.mIsChunked = mParser->chunked();
  if (const auto length = mParser->content_length()) {
    head.mLength = *length;
  }
  mIsKeepAlive = mParser->keep_alive() && !mParser->need_eof();
  head.mIsKeepAlive = mIsKeepAlive;
  if (const auto onHead = mHandlers.mOnHead) {
    onHead(head);
  }
  return true;
}

void
HttpClientConnection::TakeBody()
{
  if (!mHasHead || !mIsBusy) {
    return;
  }
  std::string body = std::move(mParser->get().body());
  mParser->get().body().clear();
  if (!body.empty() && mHandlers.mOnBody) {
    const auto onBody = mHandlers.mOnBody;
    onBody(body);
  }
}

void
HttpClientConnection::HandleClosed(CloseReason aReason)
{
  const auto self = shared_from_this();
  mIsReusable = false;
  if (!mIsBusy) {
    if (const auto onIdleClosed = std::move(mOnIdleClosed)) {
      onIdleClosed();
    }
    return;
  }
  if (aReason == CloseReason::Refused) {
    End(AnswerEnd::NotSent);
    return;
  }
  if (!mHasHead) {
    End(mHasBytes ? AnswerEnd::Garbled : AnswerEnd::NoAnswer);
    return;
  }
  const bool isWholeByEnd =
    aReason == CloseReason::Finished && mParser->need_eof();
  End(isWholeByEnd ? AnswerEnd::Complete : AnswerEnd::Cut);
}

void
HttpClientConnection::ResetParser()
{
  mParser = std::make_unique<Parser>();
  // Up to the end of the head, so that the body is not taken for a part of it.
  mParser->eager(false);
  mParser->body_limit(boost::none);
  mParser->header_limit(kMaxHeadBytes);
  mParser->skip(mIsHeadRequest);
  mHasHead = false;
  mHasBytes = false;
}

void
HttpClientConnection::End(AnswerEnd aEnd)
{
  const auto self = shared_from_this();
  mIsBusy = false;
  // Reading may have been paused for the one who took this answer.
  mSocket->SetReading(true);
  const auto onEnd = std::move(mHandlers.mOnEnd);
  mHandlers = {};
  if (onEnd) {
    onEnd(aEnd);
  }
}

}
