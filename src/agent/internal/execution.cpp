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
constexpr std::chrono::milliseconds kStallTick{ 250 };
constexpr std::chrono::milliseconds kStallTime{ 2000 };
constexpr std::chrono::milliseconds kResumeRetry{ 100 };
constexpr std::chrono::milliseconds kCancelTimeout{ 2000 };
constexpr std::chrono::hours kStreamTime{ 12 };
constexpr std::chrono::milliseconds kTicketTime{ 60000 };

}

Execution::Execution(const ExecutionContext& aContext,
                     v1::ExecuteRequest aRequest,
                     std::shared_ptr<ExecuteStream> aStream,
                     std::chrono::system_clock::time_point aDeadline,
                     ExecutionEvents aEvents)
  : mContext(aContext)
  , mRequest(std::move(aRequest))
  , mStream(std::move(aStream))
  , mDeadline(aDeadline)
  , mEvents(std::move(aEvents))
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
  // Held until its end, whoever is there to read: a ticket's outcome must be
  // recorded.
  mSelf = shared_from_this();
  const std::weak_ptr<Execution> weak = mSelf;
  mStream->SetOnTaken([weak] {
    if (const auto self = weak.lock()) {
      self->Relay();
    }
  });
  mStream->SetOnGone([weak] {
    if (const auto self = weak.lock()) {
      self->HandleGone();
    }
  });
  mStallTimer = new QTimer;
  QObject::connect(
    mStallTimer, &QTimer::timeout, mStallTimer, [this] { CheckStall(); });
  Send();
}

void
Execution::Send()
{
  mSentAt = mContext.mClock.Now();
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
    mDeadline - std::chrono::system_clock::now());
  // A ticket's outcome is worth knowing after the caller's deadline, too.
  const auto ticketTime = IsTicketed() ? kTicketTime : kStallTick;
  const auto timeout = IsStreamed() ? std::chrono::milliseconds(kStreamTime)
                                    : std::max(left, ticketTime);
  mCall =
    std::make_unique<net::HttpCall>(mContext.mManager, MakeRequest(), timeout);
  mCall->SetOnReadable([this] { Relay(); });
  mCall->SetOnEnd(
    [this](const net::HttpOutcome& aOutcome) { HandleEnd(aOutcome); });
  mStallTimer->start(kStallTick);
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
Execution::Relay()
{
  if (mIsOver) {
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
    SendHead();
  }
  // The record of a ticket needs the whole answer soon, so its reader is not
  // waited for.
  while (mCall->Readable() > 0 &&
         (IsTicketed() || mStream->Depth() < kMaxQueuedUpdates)) {
    SendChunk(mCall->Read(kChunkBytes));
  }
  if (mCall->Readable() == 0 && mOutcome) {
    HandleEnd(*mOutcome);
  }
  const bool isBehind = mCall && mCall->Readable() > 0;
  if (!isBehind) {
    mStallDeadline = global::TimePoint::max();
  } else if (mStallDeadline == global::TimePoint::max()) {
    mStallDeadline = mContext.mClock.Now() + kStallTime;
  }
}

void
Execution::SendHead()
{
  mHasHead = true;
  mResult.mHttpStatus = mCall->Status();
  // Qt takes an answer in chunks for whole when its connection is closed early.
  mIsUnbounded = !IsStreamed() && net::HttpAnswer{ mCall->AllHeaders(), {} }
                                    .Header("Content-Length")
                                    .isEmpty();
  mResult.mFirstByte = std::chrono::duration_cast<std::chrono::microseconds>(
    mContext.mClock.Now() - mSentAt);
  v1::ExecuteUpdate update;
  update.mutable_head()->set_http_status(mCall->Status());
  update.mutable_head()->set_content_type(net::HttpAnswer{
    mCall->AllHeaders(), {} }.Header("Content-Type")
                                            .toStdString());
  mStream->Push(std::move(update));
}

void
Execution::SendChunk(const QByteArray& aData)
{
  if (IsTicketed() || mIsUnbounded) {
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
    SendHead();
  }
  if (aOutcome.mIsComplete && mCall->Readable() > 0) {
    Relay();
    return;
  }
  const bool isCut = mIsUnbounded && !nlohmann::json::accept(mResult.mBody);
  mResult.mIsComplete = aOutcome.mIsComplete && !mIsTooLarge && !isCut;
  mResult.mIsSent = aOutcome.mIsSent;
  mResult.mIsBroken = !aOutcome.mIsComplete;
  mResult.mReason = mIsTooLarge ? "the back end's answer is too large"
                                : aOutcome.mReason.toStdString();
  if (mResult.mIsComplete) {
    v1::ExecuteUpdate update;
    update.mutable_end()->set_length(mOffset);
    mStream->Push(std::move(update));
    mStream->Close();
  } else if (!aOutcome.mIsSent) {
    PushFailure(ErrorKind::NotRun,
                "the back end could not be reached: " + mResult.mReason);
  } else if (IsTicketed()) {
    PushFailure(ErrorKind::OutcomeUnknown,
                "the back end's answer is lost: " + mResult.mReason);
  } else {
    PushFailure(ErrorKind::EndpointFailed, mResult.mReason);
  }
  Conclude(mResult);
}

void
Execution::HandleGone()
{
  // The record of a ticket needs the back end's answer, whoever is there to
  // read it.
  if (mIsOver || IsTicketed()) {
    return;
  }
  mResult.mReason = "the caller is gone";
  if (mCall && IsStreamed()) {
    CancelAtBackEnd();
  }
  Conclude(mResult);
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
  LOGD("A reader is slow; the back end's stream is paused. stream="
       << mRequest.stream_id() << " offset=" << mOffset);
  mIsPaused = true;
  mStallDeadline = global::TimePoint::max();
  mOutcome.reset();
  CancelAtBackEnd();
  mCall.reset();
  mEvents.mOnPause();
}

void
Execution::Resume()
{
  if (mIsResuming || mStream->Depth() > 0) {
    return;
  }
  mIsResuming = true;
  const auto self = shared_from_this();
  mEvents.mOnResume([self](bool aIsAdmitted) {
    self->mIsResuming = false;
    if (self->mIsOver) {
      return;
    }
    if (!aIsAdmitted) {
      QTimer::singleShot(
        kResumeRetry, self->mContext.mThreadContext, [self] { self->Relay(); });
      return;
    }
    self->mIsPaused = false;
    self->Send();
  });
}

void
Execution::CancelAtBackEnd()
{
  const std::string path = "/v1/requests/" + mRequest.stream_id();
  net::Fetch(mContext.mManager,
             { .mMethod = "DELETE",
               .mUrl = QUrl(QString::fromStdString(mContext.mBackEnd + path)) },
             kCancelTimeout,
             [](const net::HttpOutcome&, const net::HttpAnswer&) {});
}

void
Execution::Conclude(const ExecutionResult& aResult)
{
  if (mIsOver) {
    return;
  }
  mIsOver = true;
  // Callers up the stack still use the execution.
  transport::Post(mContext.mThreadContext, [self = std::move(mSelf)] {});
  mStallTimer->stop();
  mStallTimer->deleteLater();
  mSpan.mAttributes["status"] = std::to_string(aResult.mHttpStatus);
  mContext.mTracer.Finish(mSpan);
  mEvents.mOnEnd(aResult);
  mStream->SetOnTaken(nullptr);
  mStream->SetOnGone(nullptr);
  // The call may be running this function, and outlives the execution.
  if (mCall) {
    net::HttpCall::Release(std::move(mCall));
  }
}

}
