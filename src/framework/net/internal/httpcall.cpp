#include "framework/net/httpcall.h"

#include "framework/net/internal/singlepassbody.h"

namespace beryllever::net {

namespace {

/** Whether an error only reports an HTTP status, so that the answer itself came
 * whole. */
bool
IsWholeAnswer(QNetworkReply::NetworkError aError)
{
  const bool isClientError = aError >= QNetworkReply::ContentAccessDenied &&
                             aError <= QNetworkReply::UnknownContentError;
  const bool isServerError = aError >= QNetworkReply::InternalServerError &&
                             aError <= QNetworkReply::UnknownServerError;
  return aError == QNetworkReply::NoError || isClientError || isServerError;
}

QNetworkRequest
ToQt(const HttpCallRequest& aRequest)
{
  QNetworkRequest request(aRequest.mUrl);
  for (const auto& [name, value] : aRequest.mHeaders) {
    request.setRawHeader(name, value);
  }
  request.setAttribute(QNetworkRequest::RedirectPolicyAttribute,
                       QNetworkRequest::ManualRedirectPolicy);
  request.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
  return request;
}

}

QByteArray
HttpAnswer::Header(const QByteArray& aName) const
{
  for (const auto& [name, value] : mHeaders) {
    if (name.compare(aName, Qt::CaseInsensitive) == 0) {
      return value;
    }
  }
  return {};
}

HttpCall::HttpCall(QNetworkAccessManager& aManager,
                   const HttpCallRequest& aRequest,
                   std::chrono::milliseconds aTimeout)
{
  QNetworkRequest request = ToQt(aRequest);
  if (!aRequest.mBody.isEmpty()) {
    mBody = std::make_unique<SinglePassBody>(aRequest.mBody);
    request.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
    request.setHeader(QNetworkRequest::ContentLengthHeader,
                      aRequest.mBody.size());
  }
  mReply = aManager.sendCustomRequest(request, aRequest.mMethod, mBody.get());
  mReply->setReadBufferSize(aRequest.mReadBufferBytes);
  connect(mReply, &QNetworkReply::readyRead, this, [this] {
    if (const auto onReadable = mOnReadable) {
      onReadable();
    }
  });
  connect(mReply, &QNetworkReply::finished, this, [this] { Finish(); });
  mTimer.setSingleShot(true);
  connect(&mTimer, &QTimer::timeout, this, [this] {
    mIsTimedOut = true;
    mReply->abort();
  });
  mTimer.start(aTimeout);
}

HttpCall::~HttpCall()
{
  disconnect(mReply, nullptr, this, nullptr);
  mReply->abort();
  // The reply reads the body until it is deleted.
  connect(mReply,
          &QObject::destroyed,
          mReply,
          [body = std::shared_ptr<SinglePassBody>(std::move(mBody))] {});
  mReply->deleteLater();
}

int
HttpCall::Status() const
{
  return mReply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
}

Headers
HttpCall::AllHeaders() const
{
  return mReply->rawHeaderPairs();
}

QByteArray
HttpCall::Read(qint64 aMax)
{
  return mReply->read(aMax);
}

qint64
HttpCall::Readable() const
{
  return mReply->bytesAvailable();
}

void
HttpCall::Finish()
{
  mTimer.stop();
  HttpOutcome outcome;
  outcome.mStatus = Status();
  outcome.mIsComplete =
    outcome.mStatus != 0 && !mIsTimedOut && IsWholeAnswer(mReply->error());
  outcome.mIsSent = !mBody || mBody->IsTouched();
  outcome.mIsTimedOut = mIsTimedOut;
  outcome.mReason = mIsTimedOut
                      ? QStringLiteral("no answer within the time limit")
                      : mReply->errorString();
  if (const auto onEnd = mOnEnd) {
    onEnd(outcome);
  }
}

void
HttpCall::Release(std::unique_ptr<HttpCall> aCall)
{
  aCall->mOnReadable = nullptr;
  aCall->mOnEnd = nullptr;
  aCall.release()->deleteLater();
}

void
Fetch(QNetworkAccessManager& aManager,
      const HttpCallRequest& aRequest,
      std::chrono::milliseconds aTimeout,
      std::function<void(const HttpOutcome&, const HttpAnswer&)> aOnEnd)
{
  HttpCallRequest request = aRequest;
  request.mReadBufferBytes = 0;
  auto* call = new HttpCall(aManager, request, aTimeout);
  call->SetOnEnd([call,
                  aOnEnd = std::move(aOnEnd)](const HttpOutcome& aOutcome) {
    const HttpAnswer answer{ call->AllHeaders(), call->Read(call->Readable()) };
    call->deleteLater();
    aOnEnd(aOutcome, answer);
  });
}

}
