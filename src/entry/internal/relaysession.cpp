#include "entry/internal/relaysession.h"

#include "framework/global/hashing.h"
#include "framework/global/identifiers.h"
#include "framework/log/log.h"
#include "transport/tokens.h"

#include <QTimer>

namespace beryllever::entry {

using global::Error;
using global::ErrorKind;

namespace {

constexpr char kLogTag[] = "entry";
constexpr char kEventStream[] = "text/event-stream";
constexpr size_t kStreamIdBytes = 12;
constexpr size_t kAffinityPrefixBytes = 512;
constexpr size_t kMaxReorderedBytes = 64 * 1024;
constexpr std::chrono::hours kStreamTime{ 12 };
/** A broken stream is given up if no byte has come for this time. */
constexpr std::chrono::seconds kResumeTime{ 20 };
constexpr std::chrono::milliseconds kResumeDelay{ 100 };
/** A caller that has not read for this time gives its place at the endpoint to
 * others. */
constexpr std::chrono::milliseconds kParkTime{ 2000 };

bool
IsRefusal(ErrorKind aKind)
{
  return global::AnswerFor(aKind).mExecution == global::Execution::NotRun;
}

}

RelaySession::RelaySession(SessionContext& aContext,
                           net::HttpExchange* aExchange,
                           CallerRequest aRequest,
                           bool aIsStreamed,
                           ResumeFrom aResumeFrom)
  : Session(aContext, aExchange, std::move(aRequest), "entry")
  , mIsStreamed(aIsStreamed)
  , mStreamId(aResumeFrom ? aResumeFrom->stream_id()
                          : global::RandomHex(kStreamIdBytes))
  , mEndpoint(aResumeFrom ? aResumeFrom->endpoint() : "")
  , mAffinityKey(mRequest.mWorkspace +
                 mRequest.mBody.substr(0, kAffinityPrefixBytes))
  , mSequencer(aResumeFrom ? aResumeFrom->offset() : 0, kMaxReorderedBytes)
  , mFramer(mSequencer.NextOffset(),
            [this](uint64_t aOffset) { return MakeEventId(aOffset); })
  , mIsFixed(aResumeFrom.has_value())
{
}

void
RelaySession::Begin()
{
  const std::weak_ptr<Session> weak = weak_from_this();
  mExchange->SetOnDrained([weak] {
    if (const auto self = std::static_pointer_cast<RelaySession>(weak.lock());
        self && self->mIsHeldBack) {
      self->ReadNext();
    }
  });
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
    mRequest.mDeadline - mContext.mClock.Now());
  QTimer::singleShot(left, mContext.mTraffic, [weak] {
    if (const auto self = std::static_pointer_cast<RelaySession>(weak.lock())) {
      self->HandleDeadline();
    }
  });
  Acquire(false);
}

void
RelaySession::HandleGone()
{
  mIsOver = true;
  EndAttempt(PlacementEnd::Served);
  Finish("caller_gone");
}

void
RelaySession::Acquire(bool aIsRetry)
{
  PlacementRequest request = MakePlacementRequest();
  request.mAffinityKey = mAffinityKey;
  request.mTried = mTried;
  request.mIsRetry = aIsRetry;
  request.mFixedEndpoint = mIsFixed ? mEndpoint : "";
  const auto self = Self<RelaySession>();
  mContext.mRouter.Acquire(
    std::move(request), mContext.mTraffic, [self](const Decision& aDecision) {
      self->HandleDecision(aDecision);
    });
}

void
RelaySession::HandleDecision(const Decision& aDecision)
{
  const auto* placement = std::get_if<Placement>(&aDecision);
  if (mIsOver) {
    if (placement) {
      mContext.mRouter.Return(placement->mAddress, PlacementEnd::Served);
    }
    return;
  }
  if (placement) {
    Execute(*placement);
    return;
  }
  const Error& error = std::get<Error>(aDecision);
  EndWithError(mIsFixed ? Error{ ErrorKind::StreamLost, error.mMessage }
                        : error);
}

void
RelaySession::Execute(const Placement& aPlacement)
{
  mPlacedAt = aPlacement.mAddress;
  mEndpoint = aPlacement.mAddress;
  mSpan.mAttributes["endpoint"] = mEndpoint;
  const uint64_t attempt = ++mAttempt;
  const auto left =
    std::chrono::duration_cast<std::chrono::system_clock::duration>(
      mRequest.mDeadline - mContext.mClock.Now());
  const auto deadline =
    std::chrono::system_clock::now() + (mIsStreamed ? kStreamTime : left);
  const auto self = Self<RelaySession>();
  mCall = Call::Start(
    mContext.mTraffic,
    MakeRequest(),
    deadline,
    [stub =
       aPlacement.mStub](auto* aContext, const auto* aRequest, auto* aReactor) {
      stub->async()->Execute(aContext, aRequest, aReactor);
    },
    [self, attempt](v1::ExecuteUpdate aUpdate) {
      self->HandleUpdate(attempt, std::move(aUpdate));
    },
    // The stub lives as long as the call.
    [self, attempt, stub = aPlacement.mStub](const grpc::Status& aStatus) {
      self->HandleCallEnd(attempt, aStatus);
    });
  mCall->Read();
}

v1::ExecuteRequest
RelaySession::MakeRequest() const
{
  v1::ExecuteRequest request;
  request.set_entry(mContext.mSettings->VmName());
  request.set_workspace(mRequest.mWorkspace);
  request.set_kind(mRequest.mKind);
  request.set_body(mRequest.mBody);
  request.set_traceparent(mSpan.mContext.ToHeader());
  request.set_priority(mRequest.mRoute->mPriority);
  if (mIsStreamed) {
    request.set_stream_id(mStreamId);
    request.set_resume_offset(mSequencer.NextOffset());
  }
  return request;
}

void
RelaySession::HandleUpdate(uint64_t aAttempt, v1::ExecuteUpdate aUpdate)
{
  if (mIsOver || aAttempt != mAttempt) {
    return;
  }
  switch (aUpdate.update_case()) {
    case v1::ExecuteUpdate::kHead:
      HandleHead(aUpdate.head());
      break;
    case v1::ExecuteUpdate::kChunk:
      HandleChunk(std::move(*aUpdate.mutable_chunk()));
      break;
    case v1::ExecuteUpdate::kEnd:
      HandleEnd(aUpdate.end());
      break;
    case v1::ExecuteUpdate::kFailure:
      HandleFailure({ global::KindNamed(aUpdate.failure().kind()),
                      aUpdate.failure().message() });
      break;
    default:
      HandleFailure({ ErrorKind::EndpointFailed,
                      "the agent sent an update of an unknown kind" });
  }
}

void
RelaySession::HandleHead(const v1::ExecuteHead& aHead)
{
  const bool isServerError = aHead.http_status() >= 500;
  if (isServerError) {
    mMayHaveRun = true;
    HandleFailure(
      { ErrorKind::EndpointFailed,
        "the back end answered " + std::to_string(aHead.http_status()) });
    return;
  }
  if (!mHasHead) {
    mHasHead = true;
    mIsEventStream =
      mIsStreamed && aHead.content_type().starts_with(kEventStream);
    mExchange->BeginStream(
      aHead.http_status(),
      { { "Content-Type", QByteArray::fromStdString(aHead.content_type()) },
        { "Cache-Control", "no-store" } });
  }
  ReadNext();
}

void
RelaySession::HandleChunk(v1::ExecuteChunk aChunk)
{
  mResumeDeadline = global::TimePoint::max();
  mHasBytes = true;
  const std::string ready =
    mSequencer.Add(aChunk.offset(), std::move(*aChunk.mutable_data()));
  mExchange->WriteChunk(
    QByteArray::fromStdString(mIsStreamed ? mFramer.Add(ready) : ready));
  ReadNext();
}

void
RelaySession::HandleEnd(const v1::ExecuteEnd& aEnd)
{
  mSequencer.SetLength(aEnd.length());
  // Qt takes a chunked answer for whole when its connection is closed early.
  const bool isCut = mIsEventStream && mHasBytes && !mFramer.HasEnded();
  if (!mSequencer.IsComplete() || isCut) {
    HandleFailure({ ErrorKind::StreamLost, "the answer has a gap" });
    return;
  }
  mIsOver = true;
  mExchange->EndStream();
  EndAttempt(PlacementEnd::Served);
  Finish("answered");
}

void
RelaySession::HandleFailure(const Error& aError)
{
  const bool isRefusal = IsRefusal(aError.mKind);
  mMayHaveRun = mMayHaveRun || !isRefusal;
  EndAttempt(isRefusal ? PlacementEnd::Refused : PlacementEnd::Failed);
  if (mHasHead || mIsFixed) {
    TryResume(aError);
  } else {
    TryElsewhere(aError);
  }
}

void
RelaySession::HandleCallEnd(uint64_t aAttempt, const grpc::Status& aStatus)
{
  if (mIsOver || aAttempt != mAttempt) {
    return;
  }
  HandleFailure(
    { ErrorKind::EndpointFailed,
      "the connection to the endpoint is lost: " + aStatus.error_message() });
}

void
RelaySession::HandleDeadline()
{
  if (mIsOver || mHasHead) {
    return;
  }
  const bool isPlaced = !mPlacedAt.empty();
  mMayHaveRun = mMayHaveRun || isPlaced;
  EndAttempt(PlacementEnd::Served);
  if (mMayHaveRun) {
    EndWithError(
      { ErrorKind::DeadlineExceeded, "no answer came before the deadline" });
  } else {
    EndWithError(
      { ErrorKind::Overloaded, "no endpoint was free before the deadline" });
  }
}

void
RelaySession::ReadNext()
{
  if (!mCall) {
    return;
  }
  if (mExchange->PendingBytes() >=
      mContext.mSettings->Limits().mStreamBytes / 2) {
    HoldBack();
    return;
  }
  mIsHeldBack = false;
  mParkDeadline = global::TimePoint::max();
  if (mIsParked) {
    mIsParked = false;
    mContext.mRouter.Rejoin(mPlacedAt);
  }
  mCall->Read();
}

void
RelaySession::HoldBack()
{
  if (mIsHeldBack) {
    return;
  }
  mIsHeldBack = true;
  mParkDeadline = mContext.mClock.Now() + kParkTime;
  const std::weak_ptr<Session> weak = weak_from_this();
  QTimer::singleShot(kParkTime, mContext.mTraffic, [weak] {
    if (const auto self = std::static_pointer_cast<RelaySession>(weak.lock())) {
      self->Park();
    }
  });
}

void
RelaySession::Park()
{
  if (mIsOver || mIsParked || !mIsHeldBack ||
      mContext.mClock.Now() < mParkDeadline) {
    return;
  }
  mIsParked = true;
  mContext.mMetrics.Count("beryllever_streams_parked_total");
  mContext.mRouter.Return(mPlacedAt, PlacementEnd::Served);
}

void
RelaySession::TryResume(const Error& aError)
{
  const global::TimePoint now = mContext.mClock.Now();
  if (mResumeDeadline == global::TimePoint::max()) {
    mResumeDeadline = now + kResumeTime;
  }
  if (!mIsStreamed || now >= mResumeDeadline) {
    EndWithError(
      { mHasHead ? ErrorKind::StreamLost : aError.mKind, aError.mMessage });
    return;
  }
  mContext.mMetrics.Count("beryllever_streams_resumed_total");
  mIsFixed = true;
  const auto self = Self<RelaySession>();
  QTimer::singleShot(kResumeDelay, mContext.mTraffic, [self] {
    if (!self->mIsOver) {
      self->Acquire(true);
    }
  });
}

void
RelaySession::TryElsewhere(const Error& aError)
{
  if (IsPastDeadline() || aError.mKind == ErrorKind::InvalidRequest) {
    EndWithError(aError);
    return;
  }
  mContext.mMetrics.Count("beryllever_retries_total");
  mTried.insert(mEndpoint);
  Acquire(true);
}

void
RelaySession::EndWithError(const Error& aError)
{
  mIsOver = true;
  LOGD("An answer ends early. workspace=" << mRequest.mWorkspace
                                          << " endpoint=" << mEndpoint
                                          << " reason=" << aError.mMessage);
  Error error = aError;
  if (mMayHaveRun && IsRefusal(error.mKind)) {
    error = { ErrorKind::EndpointFailed,
              "an endpoint failed and no other was free: " + aError.mMessage };
  }
  if (!mHasHead) {
    Fail(error);
    return;
  }
  if (mIsStreamed && mExchange) {
    mExchange->WriteChunk(QByteArray::fromStdString(
      "event: error\ndata: " + ErrorBody(error) + "\n\n"));
  }
  // A cut answer must not look whole.
  if (mExchange) {
    mExchange->Abort();
  }
  Finish(std::string(global::AnswerFor(error.mKind).mName));
}

void
RelaySession::EndAttempt(PlacementEnd aEnd)
{
  ++mAttempt;
  if (mCall) {
    mCall->Cancel();
    mCall.reset();
  }
  if (!mPlacedAt.empty() && !mIsParked) {
    mContext.mRouter.Return(mPlacedAt, aEnd);
  }
  mPlacedAt.clear();
  mIsParked = false;
  mIsHeldBack = false;
}

std::string
RelaySession::MakeEventId(uint64_t aOffset) const
{
  v1::StreamPosition position;
  position.set_endpoint(mEndpoint);
  position.set_stream_id(mStreamId);
  position.set_offset(aOffset);
  return transport::EncodePosition(position);
}

}
