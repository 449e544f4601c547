#pragma once

#include "framework/net/nettypes.h"

#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QTimer>
#include <functional>
#include <memory>

namespace beryllever::net {

class SinglePassBody;

/** What came of an HTTP call. */
struct HttpOutcome
{
  /** HTTP status, or 0 if no answer came. */
  int mStatus = 0;
  /**
   * Whether the answer arrived whole, as far as Qt can tell: an answer in
   * chunks passes for whole when its connection is closed early.
   */
  bool mIsComplete = false;
  /** Whether any byte of the body may have reached the server. */
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

/** Request of an HTTP call. The body is sent at most once. */
struct HttpCallRequest
{
  QByteArray mMethod = "GET";
  QUrl mUrl;
  Headers mHeaders;
  QByteArray mBody;
  /** Bytes of the answer kept in memory before the connection is held back. */
  qint64 mReadBufferBytes = 64 * 1024;
};

/**
 * One HTTP call. The answer is pulled with Read; what is not pulled stays in
 * the connection once the read buffer is full. Deleting the call cancels it.
 */
class HttpCall : public QObject
{
public:
  HttpCall(QNetworkAccessManager& aManager,
           const HttpCallRequest& aRequest,
           std::chrono::milliseconds aTimeout);
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

  int Status() const;
  Headers AllHeaders() const;
  QByteArray Read(qint64 aMax);
  qint64 Readable() const;

private:
  void Finish();

  std::unique_ptr<SinglePassBody> mBody;
  QNetworkReply* mReply = nullptr;
  QTimer mTimer;
  std::function<void()> mOnReadable;
  std::function<void(const HttpOutcome&)> mOnEnd;
  bool mIsTimedOut = false;
};

/** Makes a call and hands the whole answer to a function. */
void
Fetch(QNetworkAccessManager& aManager,
      const HttpCallRequest& aRequest,
      std::chrono::milliseconds aTimeout,
      std::function<void(const HttpOutcome&, const HttpAnswer&)> aOnEnd);

}
