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
constexpr char kEventStreamType[] = "text/event-stream";
constexpr size_t kStreamIdBytes = 12;
constexpr size_t kAffinityPrefixBytes = 512;
constexpr size_t kMaxReorderedBytes = 64 * 1024;
constexpr std::chrono::hours kStreamTimeout{ 12 };
/** A broken stream is aborted if no byte has arrived for this time. */
constexpr std::chrono::seconds kResumeTimeout{ 20 };
constexpr std::chrono::milliseconds kResumeDelay{ 100 };
/** The placement of a stream whose caller has not read for this time is
 * released, so that other requests can use the endpoint. */
constexpr std::chrono::milliseconds kParkDelay{ 2000 };

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
                           ResumePosition aResumePosition)
  : Session(aContext, aExchange, std::move(aRequest), "entry")
  , mIsStreamed(aIsStreamed)
  , mStreamId(aResumePosition ? aResumePosition->stream_id()
                              : global::RandomHex(kStreamIdBytes))
  , mEndpoint(aResumePosition ? aResumePosition->endpoint() : "")
  , mAffinityKey(mRequest.mWorkspace +
                 mRequest.mBody.substr(0, kAffinityPrefixBytes))
  , mSequencer(aResumePosition ? aResumePosition->offset() : 0,
               kMaxReorderedBytes)
  , mFramer(mSequencer.NextOffset(),
            [this](uint64_t aOffset) { return MakeEventId(aOffset); })
  , mIsEndpointFixed(aResumePosition.has_value())
{
}

void
RelaySession::Begin()
{
  const std::weak_ptr<Session> weak = weak_from_this();
  mExchange->SetOnDrained([weak] {
    if (const auto self = std::static_pointer_cast<RelaySession>(weak.lock());
        self && self->mIsReadingPaused) {
      self->ReadNext();
    }
  });
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
    mRequest.mDeadline - mContext.mClock.Now());
  QTimer::singleShot(remaining, mContext.mTrafficContext, [weak] {
    if (const auto self = std::static_pointer_cast<RelaySession>(weak.lock())) {
      self->HandleDeadline();
    }
  });
  Acquire(false);
}

void
RelaySession::HandleDisconnect()
{
  mIsFinished = true;
  EndAttempt(PlacementResult::Served);
  Finish("caller_gone");
}

void
RelaySession::Acquire(bool aIsRetry)
{
  PlacementRequest request = MakePlacementRequest();
  request.mAffinityKey = mAffinityKey;
  request.mTriedEndpoints = mTriedEndpoints;
  request.mIsRetry = aIsRetry;
  request.mFixedEndpoint = mIsEndpointFixed ? mEndpoint : "";
  const auto self = Self<RelaySession>();
  mContext.mRouter.Acquire(
    std::move(request),
    mContext.mTrafficContext,
    [self](const Decision& aDecision) { self->HandleDecision(aDecision); });
}

void
RelaySession::HandleDecision(const Decision& aDecision)
{
  const auto* placement = std::get_if<Placement>(&aDecision);
  if (mIsFinished) {
    if (placement) {
      mContext.mRouter.ReleasePlacement(placement->mAddress,
                                        PlacementResult::Served);
    }
    return;
  }
  if (placement) {
    Execute(*placement);
    return;
  }
  const Error& error = std::get<Error>(aDecision);
  EndWithError(mIsEndpointFixed ? Error{ ErrorKind::StreamLost, error.mMessage }
                                : error);
}

void
RelaySession::Execute(const Placement& aPlacement)
{
  mPlacementAddress = aPlacement.mAddress;
  mEndpoint = aPlacement.mAddress;
  mSpan.mAttributes["endpoint"] = mEndpoint;
  const uint64_t attempt = ++mAttempt;
  const auto remaining =
    std::chrono::duration_cast<std::chrono::system_clock::duration>(
      mRequest.mDeadline - mContext.mClock.Now());
  const auto deadline = std::chrono::system_clock::now() +
                        (mIsStreamed ? kStreamTimeout : remaining);
  const auto self = Self<RelaySession>();
  mCall = Call::Start(
    mContext.mTrafficContext,
    MakeRequest(),
    deadline,
    [stub =
       aPlacement.mStub](auto* aContext, const auto* aRequest, auto* aReactor) {
      stub->async()->Execute(aContext, aRequest, aReactor);
    },
    [self, attempt](v1::ExecuteUpdate aUpdate) {
      self->HandleUpdate(attempt, std::move(aUpdate));
    },
    // Keeps the stub alive as long as the call.
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
  if (mIsFinished || aAttempt != mAttempt) {
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
                      "the agent sent an update of unknown type" });
  }
}

void
RelaySession::HandleHead(const v1::ExecuteHead& aHead)
{
  const bool isServerError = aHead.http_status() >= 500;
  if (isServerError) {
    mMayHaveRun = true;
    HandleFailure({ ErrorKind::EndpointFailed,
                    "the back end responded with status " +
                      std::to_string(aHead.http_status()) });
    return;
  }
  if (!mHasHead) {
    mHasHead = true;
    mIsEventStream =
      mIsStreamed && aHead.content_type().starts_with(kEventStreamType);
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
  mHasData = true;
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
  // A response that ends with its connection may have been cut by the end of
  // the back end.
  const bool isTruncated = mIsEventStream && mHasData && !mFramer.HasEnded();
  if (!mSequencer.IsComplete() || isTruncated) {
    HandleFailure({ ErrorKind::StreamLost, "the response is incomplete" });
    return;
  }
  mIsFinished = true;
  mExchange->EndStream();
  EndAttempt(PlacementResult::Served);
  Finish("answered");
}

void
RelaySession::HandleFailure(const Error& aError)
{
  const bool isRefusal = IsRefusal(aError.mKind);
  mMayHaveRun = mMayHaveRun || !isRefusal;
  EndAttempt(isRefusal ? PlacementResult::Refused : PlacementResult::Failed);
  if (mHasHead || mIsEndpointFixed) {
    TryResume(aError);
  } else {
    TryOtherEndpoint(aError);
  }
}

void
RelaySession::HandleCallEnd(uint64_t aAttempt, const grpc::Status& aStatus)
{
  if (mIsFinished || aAttempt != mAttempt) {
    return;
  }
  HandleFailure(
    { ErrorKind::EndpointFailed,
      "the connection to the endpoint was lost: " + aStatus.error_message() });
}

void
RelaySession::HandleDeadline()
{
  if (mIsFinished || mHasHead) {
    return;
  }
  const bool isPlaced = !mPlacementAddress.empty();
  mMayHaveRun = mMayHaveRun || isPlaced;
  // Served, because a missed deadline of the caller does not show a fault of
  // the endpoint; Refused or Failed would make the router back off from it.
  EndAttempt(PlacementResult::Served);
  if (mMayHaveRun) {
    EndWithError(
      { ErrorKind::DeadlineExceeded, "no response before the deadline" });
  } else {
    EndWithError(
      { ErrorKind::Overloaded, "no endpoint available before the deadline" });
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
    PauseReading();
    return;
  }
  mIsReadingPaused = false;
  mParkDeadline = global::TimePoint::max();
  if (mIsParked) {
    mIsParked = false;
    mContext.mRouter.Reacquire(mPlacementAddress);
  }
  mCall->Read();
}

void
RelaySession::PauseReading()
{
  if (mIsReadingPaused) {
    return;
  }
  mIsReadingPaused = true;
  mParkDeadline = mContext.mClock.Now() + kParkDelay;
  const std::weak_ptr<Session> weak = weak_from_this();
  QTimer::singleShot(kParkDelay, mContext.mTrafficContext, [weak] {
    if (const auto self = std::static_pointer_cast<RelaySession>(weak.lock())) {
      self->Park();
    }
  });
}

void
RelaySession::Park()
{
  if (mIsFinished || mIsParked || !mIsReadingPaused ||
      mContext.mClock.Now() < mParkDeadline) {
    return;
  }
  mIsParked = true;
  mContext.mMetrics.Count("beryllever_streams_parked_total");
  mContext.mRouter.ReleasePlacement(mPlacementAddress, PlacementResult::Served);
}

void
RelaySession::TryResume(const Error& aError)
{
  const global::TimePoint now = mContext.mClock.Now();
  if (mResumeDeadline == global::TimePoint::max()) {
    mResumeDeadline = now + kResumeTimeout;
  }
  if (!mIsStreamed || now >= mResumeDeadline) {
    EndWithError(
      { mHasHead ? ErrorKind::StreamLost : aError.mKind, aError.mMessage });
    return;
  }
  mContext.mMetrics.Count("beryllever_streams_resumed_total");
  mIsEndpointFixed = true;
  const auto self = Self<RelaySession>();
  QTimer::singleShot(kResumeDelay, mContext.mTrafficContext, [self] {
    if (!self->mIsFinished) {
      self->Acquire(true);
    }
  });
}

void
RelaySession::TryOtherEndpoint(const Error& aError)
{
  if (IsPastDeadline() || aError.mKind == ErrorKind::InvalidRequest) {
    EndWithError(aError);
    return;
  }
  mContext.mMetrics.Count("beryllever_retries_total");
  mTriedEndpoints.insert(mEndpoint);
  Acquire(true);
}

void
RelaySession::EndWithError(const Error& aError)
{
  mIsFinished = true;
  LOGD("Response failed. workspace=" << mRequest.mWorkspace
                                     << " endpoint=" << mEndpoint
                                     << " reason=" << aError.mMessage);
  Error error = aError;
  if (mMayHaveRun && IsRefusal(error.mKind)) {
    error = { ErrorKind::EndpointFailed,
              "an endpoint failed and no other was available: " +
                aError.mMessage };
  }
  if (!mHasHead) {
    Fail(error);
    return;
  }
  if (mIsStreamed && mExchange) {
    mExchange->WriteChunk(QByteArray::fromStdString(
      "event: error\ndata: " + MakeErrorBody(error) + "\n\n"));
  }
  // Closes the connection without the final chunk, so that the caller does not
  // take the response for complete.
  if (mExchange) {
    mExchange->Abort();
  }
  Finish(std::string(global::AnswerFor(error.mKind).mName));
}

void
RelaySession::EndAttempt(PlacementResult aResult)
{
  ++mAttempt;
  if (mCall) {
    mCall->Cancel();
    mCall.reset();
  }
  if (!mPlacementAddress.empty() && !mIsParked) {
    mContext.mRouter.ReleasePlacement(mPlacementAddress, aResult);
  }
  mPlacementAddress.clear();
  mIsParked = false;
  mIsReadingPaused = false;
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
