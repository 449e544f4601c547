#pragma once

#include "framework/net/connectionlimit.h"
#include "framework/net/httpclientconnection.h"
#include "framework/net/nettypes.h"

#include <QHostInfo>
#include <QTimer>
#include <QUrl>
#include <functional>
#include <memory>

namespace beryllever::net {

/** What came of an HTTP call. */
struct HttpOutcome
{
  /** HTTP status, or 0 if no answer came. */
  int mStatus = 0;
  /** Whether the answer arrived whole. One without a length or chunks that the
   * end of its server has cut cannot be told from a whole one. */
  bool mIsComplete = false;
  /** Whether any byte of the request may have reached the server. */
  bool mIsSent = false;
  bool mIsTimedOut = false;
  QString mReason;
};

/** A whole answer. */
struct HttpAnswer
{
  Headers mHeaders;
  QByteArray mBody;

  QByteArray Header(const QByteArray& aName) const;
};

/** Request of an HTTP call; sent at most once, on a connection of its own. */
struct HttpCallRequest
{
  QByteArray mMethod = "GET";
  /** With the scheme "http". */
  QUrl mUrl;
  Headers mHeaders;
  QByteArray mBody;
  /** Bytes of the answer kept in memory before the connection is held back; 0
   * for no limit. */
  qint64 mReadBufferBytes = 64 * 1024;
};

/**
 * One HTTP call. The answer is pulled with Read; what is not pulled stays in
 * the connection once the read buffer is full. Deleting the call cancels it.
 */
class HttpCall : public QObject
{
public:
  /** With a limit, the call may have to wait before it is sent. */
  HttpCall(const HttpCallRequest& aRequest,
           std::chrono::milliseconds aTimeout,
           ConnectionLimit* aLimit = nullptr);
  ~HttpCall() override;

  /** Called when bytes of the answer can be read. */
  void SetOnReadable(std::function<void()> aOnReadable)
  {
    mOnReadable = std::move(aOnReadable);
  }
  /** Called once at the end, after the last OnReadable. */
  void SetOnEnd(std::function<void(const HttpOutcome&)> aOnEnd)
  {
    mOnEnd = std::move(aOnEnd);
  }

  /** Cancels a call; none of its functions is called any more. May be used
   * inside them. */
  static void Release(std::unique_ptr<HttpCall> aCall);

  /** Status of the answer, or 0 if its head has not arrived. */
  int Status() const { return mStatus; }
  const Headers& AllHeaders() const { return mHeaders; }
  QByteArray Read(qint64 aMax);
  qint64 Readable() const { return mUnread.size(); }

private:
  void Begin();
  void ReleaseConnection();
  void FindServer();
  void HandleHostInfo(const QHostInfo& aInfo);
  void Send(const std::string& aHost);
  std::string SerializeRequest() const;
  void HandleHead(const AnswerHead& aHead);
  void HandleBody(std::string_view aBytes);
  void HandleTimeout();
  void Finish(HttpOutcome aOutcome);
  bool IsHeldBack() const;

  const HttpCallRequest mRequest;
  ConnectionLimit* const mLimit;
  std::shared_ptr<HttpClientConnection> mConnection;
  int mStatus = 0;
  Headers mHeaders;
  QByteArray mUnread;
  /** The end has been told; nothing is sent any more. */
  bool mHasEnded = false;
  QTimer mTimer;
  std::function<void()> mOnReadable;
  std::function<void(const HttpOutcome&)> mOnEnd;
};

/** Makes a call and hands the whole answer to a function. The call is cancelled
 * with its owner, which lives on the caller's thread. */
void
Fetch(QObject& aOwner,
      const HttpCallRequest& aRequest,
      std::chrono::milliseconds aTimeout,
      std::function<void(const HttpOutcome&, const HttpAnswer&)> aOnEnd);

}
