#pragma once

#include "framework/global/iclock.h"
#include "framework/net/httpclientconnection.h"

#include <QTimer>

namespace beryllever::net {

/** A request as it came, with its whole body. */
struct ServerRequest
{
  std::string mMethod;
  /** Path and query, byte for byte. */
  std::string mTarget;
  http::fields mFields;
  std::string mBody;
  bool mHasBody = false;
  /** When the head was complete. */
  global::TimePoint mArrival;
  /** Number of the request on its connection, from 1. */
  int mOrdinal = 1;

  std::string_view Path() const;
};

/** What a peer may send and how long it may take. */
struct ServerLimits
{
  int64_t mHeaderBytes = 16 * 1024;
  int64_t mBodyBytes = 4 * 1024 * 1024;
  std::chrono::milliseconds mHeaderTimeout{ 3000 };
  std::chrono::milliseconds mIdleTimeout{ 15000 };
};

/** Reason phrase of a status. */
std::string
StatusLine(unsigned aStatus);

/**
 * Server side of one HTTP/1.1 connection. One request at a time is handed on
 * with its whole body; its answer is either sent at once or piece by piece.
 * What is not read is held back at the peer.
 */
class HttpServerConnection
  : public std::enable_shared_from_this<HttpServerConnection>
{
public:
  struct Handlers
  {
    std::function<void(ServerRequest)> mOnRequest;
    /** The peer has gone away; called once, last. */
    std::function<void()> mOnGone;
    std::function<void()> mOnDrained;
    /** Whether so many more bytes of the request's body may be held; the
     * request is refused otherwise. */
    std::function<bool(size_t)> mMayHold;
    /** A request that cannot be taken, answered with this status. */
    std::function<void(unsigned, const std::string&)> mOnRefused;
  };

  /** Returns the limits in force, which may change while the connection is
   * open. */
  using GetLimits = std::function<ServerLimits()>;

  HttpServerConnection(std::shared_ptr<TcpSocket> aSocket,
                       const global::IClock& aClock,
                       GetLimits aGetLimits);

  void Start(Handlers aHandlers);
  /** Sends a whole answer. */
  void Answer(unsigned aStatus, http::fields aFields, std::string_view aBody);
  /** Begins an answer whose length is not known yet. */
  void BeginAnswer(unsigned aStatus, http::fields aFields);
  void WriteBody(std::string_view aBytes);
  void EndAnswer();
  /** Breaks the connection off, so that a begun answer cannot look whole. */
  void Cut();
  /** Bytes of the answer that the peer's side has not taken. */
  size_t Pending() const { return mSocket->Pending(); }
  /** Answers that begin from now on tell the peer to close. A peer that has not
   * been told so may send one more request at once; after that the connection
   * is closed as idle. */
  void AnnounceClose();
  bool HasRequest() const { return mHasRequest; }
  /** Whether a part of a request has arrived. */
  bool IsReceiving() const { return mHasHead || !mInput.empty(); }
  bool IsOpen() const { return mSocket->IsOpen(); }
  /** Refuses with 503 a request that has not been handed on yet, frees what has
   * arrived of it, and closes the connection. */
  void RefuseUnfinished();
  /** Closes in order a connection that has no request, once its last answer is
   * written. */
  void Close();
  /** Ends the connection at once. If the kernel can take the rest of the last
   * answer, it still delivers that; if not, the connection is broken off, so
   * that the answer does not look whole. Returns the bytes that are lost. */
  size_t EndNow();
  /** Once the connection has ended: bytes of the answer that did not reach the
   * peer's side. */
  size_t Undelivered() const { return mSocket->Undelivered(); }

private:
  using Parser = http::request_parser<http::string_body>;

  void HandleData(std::string_view aBytes);
  void Parse();
  /** Refuses a request whose unparsed bytes exceed the limit of a head and an
   * allowance for framing; the parser bounds a head, but not a trailer or the
   * size line of a chunk. */
  void CheckUnparsed();
  bool TakeHead();
  void Deliver();
  void Refuse(const boost::system::error_code& aError);
  void RefuseWith(unsigned aStatus, const std::string& aReason);
  /** Whether the body, as far as it is known, may be held. */
  bool MayHoldBody();
  void HandleClosed();
  void HandleTimeout();
  void BeginNext();
  /** Prepares for a request whose first bytes have arrived. */
  void BeginReceiving();
  std::chrono::milliseconds IdleTime() const;
  /** Waits on if the idle limit has been raised since the connection is idle.
   * Returns false if it has not. */
  bool TryExtendIdleTime();
  std::string ConnectionHead(unsigned aStatus, http::fields& aFields);

  std::shared_ptr<TcpSocket> mSocket;
  const global::IClock& mClock;
  const GetLimits mGetLimits;
  /** Limits of the current request, or of the time until the next one. */
  ServerLimits mLimits;
  Handlers mHandlers;
  std::unique_ptr<Parser> mParser;
  std::string mInput;
  /** Bytes of the body that may be held. */
  size_t mHeldBytes = 0;
  QTimer mTimer;
  global::TimePoint mArrival{};
  /** When the connection became ready for its next request. */
  global::TimePoint mIdleSince{};
  int mRequests = 0;
  bool mHasHead = false;
  bool mHasRequest = false;
  bool mIsChunked = false;
  bool mIsKeepAlive = true;
  bool mIsHttp11 = true;
  bool mIsHeadRequest = false;
  bool mIsClosing = false;
  /** The last answer is being written; the connection closes after it. */
  bool mIsEnding = false;
};

}
