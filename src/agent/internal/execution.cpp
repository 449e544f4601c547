#include "agent/internal/execution.h"

#include "framework/log/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace beryllever::agent {

using global::ErrorKind;

namespace {

constexpr char kLogTag[] = "agent";
constexpr qint64 kChunkBytes = 8 * 1024;
constexpr size_t kMaxQueuedUpdates = 2;
constexpr std::chrono::milliseconds kStallCheckInterval{ 250 };
constexpr std::chrono::milliseconds kStallTimeout{ 2000 };
constexpr std::chrono::milliseconds kResumeRetryDelay{ 100 };
constexpr std::chrono::milliseconds kCancelTimeout{ 2000 };
constexpr std::chrono::hours kStreamTimeout{ 12 };
constexpr std::chrono::milliseconds kTicketTimeout{ 60000 };

}

Execution::Execution(const ExecutionContext& aContext,
                     v1::ExecuteRequest aRequest,
                     std::shared_ptr<ExecuteStream> aStream,
                     std::chrono::system_clock::time_point aDeadline,
                     ExecutionCallbacks aCallbacks)
  : mContext(aContext)
  , mRequest(std::move(aRequest))
  , mStream(std::move(aStream))
  , mDeadline(aDeadline)
  , mCallbacks(std::move(aCallbacks))
  , mSpan(
      aContext.mTracer.Start(tracing::ParseTraceparent(mRequest.traceparent()),
                             "agent"))
  , mOffset(mRequest.resume_offset())
{
}

void
Execution::Start()
{
  mSpan.mAttributes["workspace"] = mRequest.workspace();
  mSpan.mAttributes["kind"] = mRequest.kind();
  // Kept alive until its end even if the reader disconnects, because the
  // outcome of a ticket must be recorded.
  mSelf = shared_from_this();
  const std::weak_ptr<Execution> weak = mSelf;
  mStream->SetOnTaken([weak] {
    if (const auto self = weak.lock()) {
      self->ForwardResponse();
    }
  });
  mStream->SetOnGone([weak] {
    if (const auto self = weak.lock()) {
      self->HandleDisconnect();
    }
  });
  mStallTimer = new QTimer;
  QObject::connect(
    mStallTimer, &QTimer::timeout, mStallTimer, [this] { CheckStall(); });
  SendRequest();
}

void
Execution::SendRequest()
{
  mSentAt = mContext.mClock.Now();
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
    mDeadline - std::chrono::system_clock::now());
  // The outcome of a ticket is recorded even after the caller's deadline.
  const auto minTimeout = IsTicketed() ? kTicketTimeout : kStallCheckInterval;
  const auto timeout = IsStreamed() ? std::chrono::milliseconds(kStreamTimeout)
                                    : std::max(remaining, minTimeout);
  mCall = std::make_unique<net::HttpCall>(
    MakeRequest(), timeout, &mContext.mBackEndConnections);
  mCall->SetOnReadable([this] { ForwardResponse(); });
  mCall->SetOnEnd(
    [this](const net::HttpOutcome& aOutcome) { HandleEnd(aOutcome); });
  mStallTimer->start(kStallCheckInterval);
}

net::HttpCallRequest
Execution::MakeRequest() const
{
  const bool isChat = mRequest.kind() == configuration::kChatKind;
  const std::string path =
    isChat ? "/v1/chat/completions" : "/v1/calls/" + mRequest.kind();
  net::HttpCallRequest request{
    .mMethod = "POST",
    .mUrl = QUrl(QString::fromStdString(mContext.mBackEnd + path)),
    .mBody = QByteArray::fromStdString(mRequest.body())
  };
  request.mHeaders = {
    { "Content-Type", "application/json" },
    { "X-Workspace", QByteArray::fromStdString(mRequest.workspace()) },
    { "X-Priority", QByteArray::number(mRequest.priority()) },
    { "traceparent", QByteArray::fromStdString(mSpan.mContext.ToHeader()) }
  };
  if (IsStreamed()) {
    request.mReadBufferBytes = mContext.mLimits.mStreamBytes;
    request.mHeaders.append(
      { "X-Request-Id", QByteArray::fromStdString(mRequest.stream_id()) });
    if (mOffset > 0) {
      request.mHeaders.append(
        { "Last-Event-ID",
          QByteArray::number(static_cast<qulonglong>(mOffset)) });
    }
  }
  return request;
}

void
Execution::ForwardResponse()
{
  if (mIsFinished) {
    return;
  }
  if (mIsPaused) {
    Resume();
    return;
  }
  if (!mCall) {
    return;
  }
  if (!mHasHead && mCall->Status() != 0) {
    ForwardHead();
  }
  // The response of a ticketed request is read without backpressure, because
  // its outcome must be recorded soon.
  while (mCall->Readable() > 0 &&
         (IsTicketed() || mStream->Depth() < kMaxQueuedUpdates)) {
    ForwardChunk(mCall->Read(kChunkBytes));
  }
  if (mCall->Readable() == 0 && mOutcome) {
    HandleEnd(*mOutcome);
  }
  const bool hasUnreadData = mCall && mCall->Readable() > 0;
  if (!hasUnreadData) {
    mStallDeadline = global::TimePoint::max();
  } else if (mStallDeadline == global::TimePoint::max()) {
    mStallDeadline = mContext.mClock.Now() + kStallTimeout;
  }
}

void
Execution::ForwardHead()
{
  mHasHead = true;
  mResult.mHttpStatus = mCall->Status();
  // A response that ends with its connection may have been cut by the end of
  // the back end.
  mIsLengthUnknown = !IsStreamed() && net::HttpAnswer{ mCall->AllHeaders(), {} }
                                        .Header("Content-Length")
                                        .isEmpty();
  mResult.mTimeToFirstByte =
    std::chrono::duration_cast<std::chrono::microseconds>(
      mContext.mClock.Now() - mSentAt);
  v1::ExecuteUpdate update;
  update.mutable_head()->set_http_status(mCall->Status());
  update.mutable_head()->set_content_type(net::HttpAnswer{
    mCall->AllHeaders(), {} }.Header("Content-Type")
                                            .toStdString());
  mStream->Push(std::move(update));
}

void
Execution::ForwardChunk(const QByteArray& aData)
{
  if (IsTicketed() || mIsLengthUnknown) {
    mResult.mBody.append(aData.constData(), static_cast<size_t>(aData.size()));
    mIsTooLarge = mIsTooLarge || static_cast<int64_t>(mResult.mBody.size()) >
                                   mContext.mLimits.mBodyBytes;
    if (mIsTooLarge) {
      mResult.mBody.clear();
      return;
    }
  }
  v1::ExecuteUpdate update;
  update.mutable_chunk()->set_offset(mOffset);
  update.mutable_chunk()->set_data(aData.constData(),
                                   static_cast<size_t>(aData.size()));
  mOffset += static_cast<uint64_t>(aData.size());
  mStream->Push(std::move(update));
}

void
Execution::PushFailure(ErrorKind aKind, const std::string& aMessage)
{
  v1::ExecuteUpdate update;
  update.mutable_failure()->set_kind(
    std::string(global::AnswerFor(aKind).mName));
  update.mutable_failure()->set_message(aMessage);
  mStream->Push(std::move(update));
  mStream->Close();
}

void
Execution::HandleEnd(const net::HttpOutcome& aOutcome)
{
  mOutcome = aOutcome;
  if (!mHasHead && mCall->Status() != 0) {
    ForwardHead();
  }
  if (aOutcome.mIsComplete && mCall->Readable() > 0) {
    ForwardResponse();
    return;
  }
  const bool isTruncated =
    mIsLengthUnknown && !nlohmann::json::accept(mResult.mBody);
  mResult.mIsComplete = aOutcome.mIsComplete && !mIsTooLarge && !isTruncated;
  mResult.mIsSent = aOutcome.mIsSent;
  mResult.mHasLostConnection = !aOutcome.mIsComplete;
  mResult.mReason = mIsTooLarge ? "the back end's response is too large"
                                : aOutcome.mReason.toStdString();
  if (mResult.mIsComplete) {
    v1::ExecuteUpdate update;
    update.mutable_end()->set_length(mOffset);
    mStream->Push(std::move(update));
    mStream->Close();
  } else if (!aOutcome.mIsSent) {
    PushFailure(ErrorKind::NotRun,
                "the back end is unreachable: " + mResult.mReason);
  } else if (IsTicketed()) {
    PushFailure(ErrorKind::OutcomeUnknown,
                "the back end's response was lost: " + mResult.mReason);
  } else {
    PushFailure(ErrorKind::EndpointFailed, mResult.mReason);
  }
  Finish(mResult);
}

void
Execution::HandleDisconnect()
{
  // The outcome of a ticket must be recorded even if nobody reads the response.
  if (mIsFinished || IsTicketed()) {
    return;
  }
  mResult.mReason = "the caller has disconnected";
  if (mCall && IsStreamed()) {
    CancelAtBackEnd();
  }
  Finish(mResult);
}

void
Execution::CheckStall()
{
  const bool isStalled = !mIsPaused && mContext.mClock.Now() >= mStallDeadline;
  if (isStalled && IsStreamed()) {
    Pause();
  }
}

void
Execution::Pause()
{
  LOGD("Reader is slow; stream from the back end is paused. stream="
       << mRequest.stream_id() << " offset=" << mOffset);
  mIsPaused = true;
  mStallDeadline = global::TimePoint::max();
  mOutcome.reset();
  CancelAtBackEnd();
  mCall.reset();
  mCallbacks.mOnPause();
}

void
Execution::Resume()
{
  if (mIsResuming || mStream->Depth() > 0) {
    return;
  }
  mIsResuming = true;
  const auto self = shared_from_this();
  mCallbacks.mOnResume([self](bool aIsAdmitted) {
    self->mIsResuming = false;
    if (self->mIsFinished) {
      return;
    }
    if (!aIsAdmitted) {
      QTimer::singleShot(kResumeRetryDelay,
                         self->mContext.mThreadContext,
                         [self] { self->ForwardResponse(); });
      return;
    }
    self->mIsPaused = false;
    self->SendRequest();
  });
}

void
Execution::CancelAtBackEnd()
{
  const std::string path = "/v1/requests/" + mRequest.stream_id();
  net::Fetch(*mContext.mThreadContext,
             { .mMethod = "DELETE",
               .mUrl = QUrl(QString::fromStdString(mContext.mBackEnd + path)) },
             kCancelTimeout,
             [](const net::HttpOutcome&, const net::HttpAnswer&) {});
}

void
Execution::Finish(const ExecutionResult& aResult)
{
  if (mIsFinished) {
    return;
  }
  mIsFinished = true;
  // Functions up the call stack still use the execution, so its last reference
  // is released asynchronously.
  transport::Post(mContext.mThreadContext, [self = std::move(mSelf)] {});
  mStallTimer->stop();
  mStallTimer->deleteLater();
  mSpan.mAttributes["status"] = std::to_string(aResult.mHttpStatus);
  mContext.mTracer.Finish(mSpan);
  mCallbacks.mOnEnd(aResult);
  mStream->SetOnTaken(nullptr);
  mStream->SetOnGone(nullptr);
  // This may run inside a callback of the call, so Release defers its deletion.
  if (mCall) {
    net::HttpCall::Release(std::move(mCall));
  }
}

}
