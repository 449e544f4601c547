#include "framework/net/httpserverconnection.h"

#include <boost/asio/buffer.hpp>
#include <charconv>

namespace beryllever::net {

namespace {

/** Bytes of a chunk's size line with its extensions, and of the line ends
 * around a trailer, that a request may have beyond the limit of its head. */
constexpr size_t kMaxFramingBytes = 4 * 1024;
/** Bytes of a next request that are taken while one is being answered. */
constexpr size_t kMaxReadAhead = 64 * 1024;
/** Idle time granted beyond the limit, so that a request sent at the limit does
 * not cross the close. */
constexpr std::chrono::milliseconds kIdleSlack{ 500 };
/** Idle time of a connection that is to close without its peer having been told
 * so: for a request that is on its way. */
constexpr std::chrono::milliseconds kLastIdleTime{ 150 };
/** Longest time that a peer may take to read the rest of its last answer.
 * Longer than callers wait for one. */
constexpr std::chrono::milliseconds kMaxCloseTime{ 30000 };
constexpr char kTooManyBytes[] = "too many bytes of requests are held";
/** When a peer had best come back whose request could not be held. */
constexpr char kRetryAfterSeconds[] = "1";

unsigned
StatusFor(const boost::system::error_code& aError)
{
  if (aError == http::error::header_limit) {
    return 431;
  }
  if (aError == http::error::body_limit) {
    return 413;
  }
  return 400;
}

}

std::string_view
ServerRequest::Path() const
{
  return std::string_view(mTarget).substr(0, mTarget.find('?'));
}

std::string
StatusLine(unsigned aStatus)
{
  const std::string_view reason =
    http::obsolete_reason(static_cast<http::status>(aStatus));
  return "HTTP/1.1 " + std::to_string(aStatus) + " " +
         (reason == "<unknown-status>" ? "Unknown" : std::string(reason));
}

HttpServerConnection::HttpServerConnection(std::shared_ptr<TcpSocket> aSocket,
                                           const global::IClock& aClock,
                                           GetLimits aGetLimits)
  : mSocket(std::move(aSocket))
  , mClock(aClock)
  , mGetLimits(std::move(aGetLimits))
{
  mTimer.setSingleShot(true);
  QObject::connect(
    &mTimer, &QTimer::timeout, &mTimer, [this] { HandleTimeout(); });
}

void
HttpServerConnection::Start(Handlers aHandlers)
{
  mHandlers = std::move(aHandlers);
  const std::weak_ptr<HttpServerConnection> weak = weak_from_this();
  mSocket->SetHandlers({ .mOnConnected = {},
                         .mOnData =
                           [weak](std::string_view aBytes) {
                             if (const auto self = weak.lock()) {
                               self->HandleData(aBytes);
                             }
                           },
                         .mOnDrained =
                           [weak] {
                             const auto self = weak.lock();
                             if (self && self->mHandlers.mOnDrained) {
                               self->mHandlers.mOnDrained();
                             }
                           },
                         .mOnClosed =
                           [weak](CloseReason) {
                             if (const auto self = weak.lock()) {
                               self->HandleClosed();
                             }
                           } });
  BeginNext();
}

void
HttpServerConnection::AnnounceClose()
{
  mIsClosing = true;
  if (!mHasRequest && !IsReceiving() && !mIsEnding) {
    mTimer.start(IdleTime());
  }
}

std::chrono::milliseconds
HttpServerConnection::IdleTime() const
{
  return mIsClosing ? kLastIdleTime : mLimits.mIdleTimeout + kIdleSlack;
}

bool
HttpServerConnection::TryExtendIdleTime()
{
  if (mIsClosing) {
    return false;
  }
  mLimits = mGetLimits();
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
    mClock.Now() - mIdleSince);
  if (age >= IdleTime()) {
    return false;
  }
  mTimer.start(IdleTime() - age);
  return true;
}

void
HttpServerConnection::BeginNext()
{
  mParser.reset();
  mLimits = mGetLimits();
  mIdleSince = mClock.Now();
  mHasHead = false;
  mHasRequest = false;
  mHeldBytes = 0;
  mSocket->SetReading(true);
  mTimer.start(IdleTime());
  if (!mInput.empty()) {
    BeginReceiving();
    Parse();
  }
}

void
HttpServerConnection::BeginReceiving()
{
  mLimits = mGetLimits();
  mParser = std::make_unique<Parser>();
  mParser->eager(true);
  mParser->header_limit(static_cast<uint32_t>(mLimits.mHeaderBytes));
  mParser->body_limit(static_cast<uint64_t>(mLimits.mBodyBytes));
  mTimer.start(mLimits.mHeaderTimeout);
}

void
HttpServerConnection::HandleData(std::string_view aBytes)
{
  const auto self = shared_from_this();
  mInput.append(aBytes);
  if (mHasRequest) {
    // Reading goes on, so that a peer that leaves is noticed.
    if (mInput.size() > kMaxReadAhead) {
      mSocket->SetReading(false);
    }
    return;
  }
  if (!mParser) {
    BeginReceiving();
  }
  Parse();
}

void
HttpServerConnection::Parse()
{
  while (!mHasRequest && !mInput.empty() && mSocket->IsOpen()) {
    boost::system::error_code ec;
    const size_t n = mParser->put(boost::asio::buffer(mInput), ec);
    mInput.erase(0, n);
    if (ec && ec != http::error::need_more) {
      Refuse(ec);
      return;
    }
    if (!mHasHead && mParser->is_header_done() && !TakeHead()) {
      return;
    }
    if (mHasHead && !MayHoldBody()) {
      RefuseWith(503, kTooManyBytes);
      return;
    }
    if (mParser->is_done()) {
      Deliver();
      return;
    }
    if (ec == http::error::need_more || n == 0) {
      CheckUnparsed();
      return;
    }
  }
}

void
HttpServerConnection::CheckUnparsed()
{
  if (mInput.size() >
      static_cast<size_t>(mLimits.mHeaderBytes) + kMaxFramingBytes) {
    RefuseWith(431, "a trailer or the size line of a chunk is too long");
  }
}

bool
HttpServerConnection::TakeHead()
{
  const auto& message = mParser->get();
  mHasHead = true;
  mArrival = mClock.Now();
  // The body may take as long as its sender likes to wait.
  mTimer.start(mLimits.mIdleTimeout);
  mIsHttp11 = message.version() >= 11;
  mIsKeepAlive = message.keep_alive();
  mIsHeadRequest = message.method() == http::verb::head;
  if (message.method() == http::verb::connect ||
      (mIsHttp11 && message.count(http::field::host) != 1)) {
    Refuse(make_error_code(http::error::bad_field));
    return false;
  }
  const auto expect = message.find(http::field::expect);
  if (expect != message.end() && !mParser->is_done()) {
    mSocket->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  return true;
}

void
HttpServerConnection::Deliver()
{
  mTimer.stop();
  mHasRequest = true;
  const bool hasBody =
    mParser->chunked() || mParser->content_length().has_value();
  auto message = mParser->release();
  ServerRequest request{ .mMethod = std::string(message.method_string()),
                         .mTarget = std::string(message.target()),
                         .mFields = message.base(),
                         .mBody = std::move(message.body()),
                         .mHasBody = hasBody,
                         .mArrival = mArrival,
                         .mOrdinal = ++mRequests };
  if (const auto onRequest = mHandlers.mOnRequest) {
    onRequest(std::move(request));
  }
}

void
HttpServerConnection::Refuse(const boost::system::error_code& aError)
{
  RefuseWith(StatusFor(aError), aError.message());
}

void
HttpServerConnection::RefuseWith(unsigned aStatus, const std::string& aReason)
{
  mHasRequest = true;
  mIsClosing = true;
  mInput = std::string();
  mParser.reset();
  if (mHandlers.mOnRefused) {
    mHandlers.mOnRefused(aStatus, aReason);
  }
  http::fields fields;
  if (aStatus == 503) {
    fields.set(http::field::retry_after, kRetryAfterSeconds);
  }
  Answer(aStatus, std::move(fields), aReason);
}

void
HttpServerConnection::RefuseUnfinished()
{
  if (!mHasRequest && mSocket->IsOpen()) {
    RefuseWith(503, kTooManyBytes);
  }
}

bool
HttpServerConnection::MayHoldBody()
{
  const size_t known = std::max<size_t>(mParser->get().body().size(),
                                        mParser->content_length().value_or(0));
  if (known <= mHeldBytes || !mHandlers.mMayHold) {
    return true;
  }
  if (!mHandlers.mMayHold(known - mHeldBytes)) {
    return false;
  }
  mHeldBytes = known;
  return true;
}

std::string
HttpServerConnection::ConnectionHead(unsigned aStatus, http::fields& aFields)
{
  if (mIsClosing || !mIsKeepAlive) {
    mIsKeepAlive = false;
    aFields.set(http::field::connection, "close");
  } else if (!mIsHttp11) {
    aFields.set(http::field::connection, "keep-alive");
  }
  return HeadText(StatusLine(aStatus), aFields);
}

void
HttpServerConnection::Answer(unsigned aStatus,
                             http::fields aFields,
                             std::string_view aBody)
{
  mIsChunked = false;
  const bool mayHaveBody = aStatus != 204 && aStatus != 304;
  if (mayHaveBody) {
    aFields.set(http::field::content_length, std::to_string(aBody.size()));
  }
  std::string text = ConnectionHead(aStatus, aFields);
  if (mayHaveBody && !mIsHeadRequest) {
    text += aBody;
  }
  mSocket->Write(text);
  EndAnswer();
}

void
HttpServerConnection::BeginAnswer(unsigned aStatus, http::fields aFields)
{
  mIsChunked = mIsHttp11;
  if (mIsChunked) {
    aFields.set(http::field::transfer_encoding, "chunked");
  } else {
    mIsKeepAlive = false;
  }
  mSocket->Write(ConnectionHead(aStatus, aFields));
}

void
HttpServerConnection::WriteBody(std::string_view aBytes)
{
  if (aBytes.empty() || mIsHeadRequest) {
    return;
  }
  if (!mIsChunked) {
    mSocket->Write(aBytes);
    return;
  }
  std::array<char, 20> size{};
  const auto [end, ec] =
    std::to_chars(size.data(), size.data() + size.size(), aBytes.size(), 16);
  std::string chunk(size.data(), end);
  chunk += "\r\n";
  chunk += aBytes;
  chunk += "\r\n";
  mSocket->Write(chunk);
}

void
HttpServerConnection::EndAnswer()
{
  const auto self = shared_from_this();
  if (mIsChunked && !mIsHeadRequest) {
    mSocket->Write("0\r\n\r\n");
  }
  mIsChunked = false;
  if (!mIsKeepAlive) {
    Close();
    return;
  }
  if (mSocket->IsOpen()) {
    BeginNext();
  }
}

void
HttpServerConnection::Cut()
{
  const auto self = shared_from_this();
  mSocket->Abort();
  HandleClosed();
}

size_t
HttpServerConnection::EndNow()
{
  if (!mSocket->IsOpen()) {
    return 0;
  }
  if (mSocket->HandOver() > 0) {
    mSocket->Abort();
    return mSocket->Undelivered();
  }
  mSocket->Close();
  return 0;
}

void
HttpServerConnection::Close()
{
  if (mIsEnding) {
    return;
  }
  const auto self = shared_from_this();
  mIsEnding = true;
  mTimer.start(kMaxCloseTime);
  const std::weak_ptr<HttpServerConnection> weak = weak_from_this();
  mSocket->CloseAfterWrite([weak](CloseReason) {
    if (const auto self = weak.lock()) {
      self->HandleClosed();
    }
  });
}

void
HttpServerConnection::HandleClosed()
{
  const auto self = shared_from_this();
  mTimer.stop();
  const auto onGone = std::move(mHandlers.mOnGone);
  mHandlers = {};
  if (onGone) {
    onGone();
  }
}

void
HttpServerConnection::HandleTimeout()
{
  if (mIsEnding) {
    Cut();
    return;
  }
  if (mHasRequest) {
    return;
  }
  const auto self = shared_from_this();
  // After a stall of the thread, the timer may run before the socket is read.
  mSocket->ReadArrived();
  if (mHasRequest || mTimer.isActive() || !mSocket->IsOpen()) {
    return;
  }
  if (!mHasHead && mInput.empty()) {
    if (!TryExtendIdleTime()) {
      Close();
    }
    return;
  }
  RefuseWith(408, "the request did not arrive in time");
}

}
