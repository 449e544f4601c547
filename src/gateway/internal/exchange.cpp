#include "gateway/internal/exchange.h"

#include "framework/log/log.h"
#include "gateway/internal/endedrequest.h"
#include "gateway/internal/endpointstatements.h"
#include "gateway/internal/headerfields.h"

namespace beryllever::gateway {

namespace {

namespace http = net::http;
using published::RouteKind;
using std::chrono::duration_cast;

constexpr char kLogTag[] = "request";
/** Outcome of a request whose whole response has been sent. */
constexpr char kAnswered[] = "answered";

/** Time to connect to an endpoint. The network delay is below 1 ms one way; the
 * rest allows for a busy endpoint. */
constexpr milliseconds kConnectTimeout{ 300 };
/** Successful responses up to this size are forwarded only when complete, so
 * that they can still be retried. Those of streaming routes are forwarded at
 * once, and unsuccessful responses of any size only when complete. */
constexpr size_t kMaxBufferedResponseBytes = 256 * 1024;
/** Most bytes of responses to other requests that are skipped. */
constexpr size_t kMaxDiscardedBytes = 4 * 1024 * 1024;
/** Delay before a retry while the gateway has no configuration. */
constexpr milliseconds kRetryAfterUnconfigured{ 700 };

}

Exchange::Exchange(TrafficContext& aContext,
                   std::shared_ptr<net::HttpServerConnection> aCaller,
                   net::ServerRequest aRequest,
                   std::function<void()> aOnEnd)
  : mContext(aContext)
  , mCaller(std::move(aCaller))
  , mRequest(std::move(aRequest))
  , mOnEnd(std::move(aOnEnd))
  , mSnapshot(aContext.mSnapshot)
  , mMetadata(aContext.mCodec.ParseRequest(mRequest.mFields))
  , mWait(aContext, mRequest.mArrival)
  , mResponse(aContext.mClock, mCaller, mRequest.mArrival)
{
  mDeadlineTimer.setSingleShot(true);
  mDeadlineTimer.setTimerType(Qt::PreciseTimer);
  mAttemptTimer.setSingleShot(true);
  QObject::connect(&mDeadlineTimer, &QTimer::timeout, &mDeadlineTimer, [this] {
    const auto self = shared_from_this();
    HandleDeadline();
  });
  QObject::connect(&mAttemptTimer, &QTimer::timeout, &mAttemptTimer, [this] {
    const auto self = shared_from_this();
    HandleAttemptTimeout();
  });
}

void
Exchange::Start()
{
  const auto self = shared_from_this();
  if (!TryAdmit()) {
    return;
  }
  mHasCallerDeadline = mMetadata.mRemainingTime.has_value();
  mWait.Begin(mAdmission, mPool, mMetadata);
  StartDeadlineTimer();
  if (mContext.mStop && !mContext.mStop->MayTake(mContext.mIsAccepting,
                                                 mContext.mClock.Now(),
                                                 mWait.Deadline())) {
    RefuseForStop();
    return;
  }
  mContext.RetryBudgetFor(mPool).RecordRequest();
  mContext.mBalancer.RecordArrival(mPool, mAdmission.mPriority);
  PlaceRequest();
}

void
Exchange::StartDeadlineTimer()
{
  // Rounded up, so that no request ends before its time limit.
  const auto left =
    std::chrono::ceil<milliseconds>(mWait.Deadline() - mContext.mClock.Now());
  mDeadlineTimer.start(std::max(milliseconds(0), left));
}

bool
Exchange::TryAdmit()
{
  const auto result = gateway::Admit(
    *mSnapshot, HostOf(mRequest.mFields), mRequest.Path(), mMetadata.mApiKey);
  if (const auto* rejection = std::get_if<Rejection>(&result)) {
    const bool isTemporary = rejection->mStatus == 503;
    RespondLocally(rejection->mStatus,
                   rejection->mReason,
                   isTemporary ? std::optional(kRetryAfterUnconfigured)
                               : std::nullopt);
    return false;
  }
  mAdmission = std::get<Admission>(result);
  mPool = PickPool(*mAdmission.mRoute, mContext.mRandom);
  mResponse.SetEventStream(IsEventStream());
  return true;
}

void
Exchange::RefuseForStop()
{
  mContext.mMetrics.Count("beryllever_stop_refusals");
  // Other gateways take it at once.
  RespondLocally(503, "the gateway is stopping", milliseconds(0));
}

void
Exchange::PlaceRequest()
{
  if (mIsFinished) {
    return;
  }
  if (const auto refusal = mContext.mPromptGuard.FindRefusal(mMetadata)) {
    mContext.mPromptGuard.RecordRefusal(mMetadata, *refusal);
    FailRequest("a part of the prompt is suspected to crash endpoints",
                refusal->mRetryAfter);
    return;
  }
  if (mWait.MustQueue()) {
    WaitForEndpoint();
    return;
  }
  const Placement placement = FindPlace();
  if (placement.mStatus == PlacementStatus::Chosen) {
    Send(*placement.mEndpoint);
    return;
  }
  if (placement.mIsReserved) {
    mContext.mMetrics.Count("beryllever_placements_reserved");
  }
  if (placement.mIsBeyondShare) {
    mContext.mMetrics.Count("beryllever_placements_beyond_share");
  }
  if (placement.mStatus == PlacementStatus::AtCapacity) {
    WaitForEndpoint();
    return;
  }
  if (placement.mStatus == PlacementStatus::Paused) {
    FailRequest("all endpoints have asked for a pause");
    return;
  }
  FailRequest(mLastFailure.empty() ? "no endpoint is in service"
                                   : mLastFailure);
}

Placement
Exchange::FindPlace(bool aMayQueueAtEndpoint)
{
  return mContext.mBalancer.Choose(*mContext.mSnapshot,
                                   { mPool,
                                     mContext.mAvailabilityZone,
                                     mTriedEndpoints,
                                     mWait.PlacementPriority(),
                                     aMayQueueAtEndpoint });
}

void
Exchange::WaitForEndpoint()
{
  const std::weak_ptr<Exchange> weak = weak_from_this();
  const bool isQueued =
    mWait.TryEnqueue({ .mIsRetry = !mTriedEndpoints.empty(),
                       .mTryPlace =
                         [weak] {
                           const auto self = weak.lock();
                           return !self || self->TryPlaceQueued();
                         },
                       .mOnRefused =
                         [weak](QueueRefusal aRefusal) {
                           if (const auto self = weak.lock()) {
                             self->HandleQueueRefusal(aRefusal);
                           }
                         } });
  if (!isQueued) {
    FailRequest("all endpoints are full", mWait.BookReturn());
  }
}

bool
Exchange::TryPlaceQueued()
{
  const uint64_t id = mWait.QueueId();
  if (!mWait.StaysQueuedWhileTrying()) {
    mWait.ClearQueueId();
  }
  PlaceRequest();
  return mWait.QueueId() != id;
}

void
Exchange::HandleQueueRefusal(QueueRefusal aRefusal)
{
  mWait.ClearQueueId();
  if (aRefusal == QueueRefusal::Displaced) {
    mWait.RecordRefusal(
      "A more urgent request took the place in the full queue",
      "beryllever_displaced_requests");
  } else if (aRefusal == QueueRefusal::Hopeless) {
    mWait.RecordRefusal("The waiting request cannot be served in time",
                        "beryllever_hopeless_requests");
  }
  FailRequest("all endpoints are full", mWait.BookReturn());
}

void
Exchange::FailRequest(const std::string& aReason,
                      std::optional<milliseconds> aRetryAfter)
{
  if (mResponse.HasBegun()) {
    AbortResponse(aReason);
    return;
  }
  if (mMayHaveExecuted) {
    RespondLocally(502, aReason);
    return;
  }
  RespondLocally(
    503, aReason, aRetryAfter.value_or(mWait.RetryAfter(mWasRefused)));
}

void
Exchange::Send(const published::Endpoint& aEndpoint)
{
  mWait.RecordPlaced();
  mAttempt = std::make_unique<Attempt>();
  mAttempt->mEndpoint = aEndpoint;
  mAttempt->mSentAt = mContext.mClock.Now();
  mLastEndpoint = aEndpoint.mId;
  mTriedEndpoints.insert(aEndpoint.mId);
  ++mAttempts;
  mContext.mBalancer.RecordSent(aEndpoint.mId);
  mContext.mPromptGuard.RecordSent(mMetadata, aEndpoint);
  mAttempt->mLease = mContext.mConnections.Acquire(
    aEndpoint, !mAdmission.mRoute->IsRepeatable());
  mAttemptTimer.start(kConnectTimeout);
  mAttempt->mLease.mConnection->Send(SerializeRequest(aEndpoint),
                                     ResponseHandlers(*mAttempt),
                                     mRequest.mMethod == "HEAD");
}

std::string
Exchange::SerializeRequest(const published::Endpoint& aEndpoint) const
{
  http::fields fields = mRequest.mFields;
  RemoveHopByHopFields(fields);
  if (mRequest.mHasBody) {
    fields.set(http::field::content_length,
               std::to_string(mRequest.mBody.size()));
  }
  AttemptMetadata metadata{ .mEndpointId = aEndpoint.mId,
                            .mWorkspace = mAdmission.mWorkspace };
  if (mSnapshot->HasPriorities(mPool)) {
    metadata.mPriority = mAdmission.mPriority;
  }
  if (mHasCallerDeadline) {
    metadata.mRemainingTime = std::max(milliseconds(1), mWait.RemainingTime());
  }
  metadata.mLastEventId =
    mResponse.LastEventId() ? mResponse.LastEventId() : mMetadata.mLastEventId;
  mContext.mCodec.SetAttemptFields(fields, metadata);
  return net::HeadText(mRequest.mMethod + " " + mRequest.mTarget + " HTTP/1.1",
                       fields) +
         mRequest.mBody;
}

net::HttpClientConnection::Handlers
Exchange::ResponseHandlers(const Attempt& aAttempt)
{
  const std::weak_ptr<Exchange> weak = weak_from_this();
  // Only compared, since the attempt may have ended. No later attempt is taken
  // for it: an ended one has no handlers.
  const Attempt* const attempt = &aAttempt;
  return { .mOnHead =
             [weak, attempt](const net::AnswerHead& aHead) {
               const auto self = weak.lock();
               if (self && attempt == self->mStalledAttempt.get() &&
                   self->EndIfUnusable(aHead)) {
                 return;
               }
               if (self && self->TryMakeCurrent(attempt)) {
                 self->HandleHead(aHead);
               }
             },
           .mOnBody =
             [weak, attempt](std::string_view aBytes) {
               const auto self = weak.lock();
               if (self && attempt == self->mStalledAttempt.get()) {
                 self->HandleStalledBody(aBytes);
               } else if (self && self->TryMakeCurrent(attempt)) {
                 self->HandleBody(aBytes);
               }
             },
           .mOnEnd =
             [weak, attempt](net::AnswerEnd aEnd) {
               const auto self = weak.lock();
               if (self && attempt == self->mStalledAttempt.get() &&
                   !self->IsUsableEnd(*self->mStalledAttempt, aEnd)) {
                 self->FailStalledAttempt("response ended: " +
                                          std::string(net::NameOf(aEnd)));
               } else if (self && self->TryMakeCurrent(attempt)) {
                 self->HandleEnd(aEnd);
               }
             } };
}

bool
Exchange::TryMakeCurrent(const Attempt* aAttempt)
{
  if (mIsFinished) {
    return false;
  }
  if (aAttempt == mStalledAttempt.get()) {
    ResumeStalledAttempt();
  }
  return aAttempt == mAttempt.get();
}

bool
Exchange::IsUsableEnd(const Attempt& aAttempt, net::AnswerEnd aEnd) const
{
  return aEnd == net::AnswerEnd::Complete &&
         aAttempt.mHeadKind == HeadKind::Usable && !IsBrokenOffStream(aAttempt);
}

bool
Exchange::EndIfUnusable(const net::AnswerHead& aHead)
{
  const ResponseMetadata metadata = mContext.mCodec.ParseResponse(aHead);
  const HeadKind kind = ClassifyHead(aHead, metadata, mMetadata.mRequestId);
  if (kind == HeadKind::Usable) {
    return false;
  }
  RecordStatements(
    mContext, mStalledAttempt->mEndpoint, aHead.mStatus, metadata);
  LOGI("The response of the stalled attempt cannot be used. request="
       << mMetadata.mRequestId << " endpoint=" << mStalledAttempt->mEndpoint.mId
       << " status=" << aHead.mStatus << " kind=" << NameOf(kind));
  EndStalledAttempt(kind == HeadKind::NotExecuted ? EndpointOutcome::Refused
                                                  : EndpointOutcome::Failed);
  return true;
}

void
Exchange::HandleHead(const net::AnswerHead& aHead)
{
  mAttempt->mHead = aHead;
  mAttempt->mHeadAt = mContext.mClock.Now();
  mAttempt->mMetadata = mContext.mCodec.ParseResponse(aHead);
  mAttempt->mBody.clear();
  const ResponseMetadata& metadata = mAttempt->mMetadata;
  RecordStatements(mContext, mAttempt->mEndpoint, aHead.mStatus, metadata);
  mAttempt->mHeadKind = ClassifyHead(aHead, metadata, mMetadata.mRequestId);
  if (mAttempt->IsMismatched() ||
      mAttempt->mHeadKind == HeadKind::NotExecuted) {
    return;
  }
  if (mAttempt->mHeadKind == HeadKind::Unsigned) {
    HandleBrokenAttempt("response is not signed");
    return;
  }
  if (IsEventStream() && aHead.mStatus / 100 == 2) {
    ForwardHead();
  }
}

bool
Exchange::IsEventStream() const
{
  return mAdmission.mRoute->mKind == RouteKind::Streaming;
}

void
Exchange::HandleBody(std::string_view aBytes)
{
  if (!mAttempt) {
    return;
  }
  mContext.mBalancer.RecordData(mAttempt->mEndpoint.mId);
  if (mAttempt->IsMismatched()) {
    mAttempt->mDiscardedBytes += aBytes.size();
    if (mAttempt->mDiscardedBytes > kMaxDiscardedBytes) {
      HandleBrokenAttempt("response to another request does not end");
    }
    return;
  }
  mContext.mPromptGuard.RecordAlive(mAttempt->mEndpoint, mAttempt->mSentAt);
  if (mAttempt->mIsForwarded) {
    ForwardBody(aBytes);
    return;
  }
  BufferBody(aBytes);
}

void
Exchange::HandleStalledBody(std::string_view aBytes)
{
  mContext.mBalancer.RecordData(mStalledAttempt->mEndpoint.mId);
  if (mStalledAttempt->mHeadKind != HeadKind::Usable) {
    FailStalledAttempt("response cannot be used");
    return;
  }
  if (!mStalledAttempt->mIsForwarded || mResponse.CompletesEvent(aBytes)) {
    ResumeStalledAttempt();
    HandleBody(aBytes);
    return;
  }
  if (mResponse.Write(aBytes) == ForwardResult::EventTooLarge) {
    FailStalledAttempt("event is too large");
  }
}

void
Exchange::FailStalledAttempt(const std::string& aReason)
{
  mLastFailure = aReason;
  LOGW("Attempt failed. request="
       << mMetadata.mRequestId << " endpoint=" << mStalledAttempt->mEndpoint.mId
       << " attempt=" << mAttempts - 1 << " reused=0 reason=" << aReason);
  EndStalledAttempt(EndpointOutcome::Failed);
}

void
Exchange::BufferBody(std::string_view aBytes)
{
  mAttempt->mBody.append(aBytes);
  mAttempt->mBodyAt = mContext.mClock.Now();
  if (mAttempt->mBody.size() <= kMaxBufferedResponseBytes) {
    return;
  }
  if (mAttempt->mMetadata.mIsNotExecuted) {
    HandleNotExecuted();
    return;
  }
  const bool isOk = mAttempt->mHead->mStatus / 100 == 2;
  // A failure of unstated length may be bytes without end.
  const bool isBounded = isOk || mAttempt->mHead->mLength.has_value();
  if (mResponse.HasBegun() || !isBounded) {
    HandleBrokenAttempt("response is too large");
    return;
  }
  const std::string body = std::move(mAttempt->mBody);
  mAttempt->mBody.clear();
  ForwardHead();
  ForwardBody(body);
}

void
Exchange::ForwardHead()
{
  mAttempt->mIsForwarded = true;
  if (!mResponse.HasBegun()) {
    EndStalledAttempt(EndpointOutcome::Failed);
  }
  if (mStalledAttempt) {
    // The first of the two that sends an event continues the response.
    return;
  }
  if (mContext.mStop) {
    mCaller->AnnounceClose();
  }
  mResponse.Begin(*mAttempt->mHead);
}

void
Exchange::ForwardBody(std::string_view aBytes)
{
  std::string bytes = std::exchange(mAttempt->mBody, {});
  bytes += aBytes;
  if (mStalledAttempt && !CanTakeOver(bytes)) {
    return;
  }
  EndStalledAttempt(EndpointOutcome::Failed);
  switch (mResponse.Write(bytes)) {
    case ForwardResult::SkippedEvents:
      AbortResponse("resumed stream skips events");
      return;
    case ForwardResult::EventTooLarge:
      HandleBrokenAttempt("event is too large");
      return;
    case ForwardResult::Forwarded:
      break;
  }
  if (!mAttempt->mIsSound &&
      mAttempt->HasOutlastedBegin(mResponse, mContext.mClock.Now())) {
    mAttempt->mIsSound = true;
    mContext.mPromptGuard.RecordSound(mMetadata);
  }
  if (mResponse.IsCallerBehind()) {
    mAttempt->mLease.mConnection->SetReading(false);
  }
}

bool
Exchange::CanTakeOver(const std::string& aBytes)
{
  switch (mResponse.CheckResumption(aBytes)) {
    case ResumptionCheck::SkipsEvents:
      HandleBrokenAttempt("resumed stream skips events");
      return false;
    case ResumptionCheck::NoEvent:
      mAttempt->mBody = aBytes;
      if (aBytes.size() > kMaxBufferedResponseBytes) {
        HandleBrokenAttempt("event is too large");
      }
      return false;
    case ResumptionCheck::Continues:
      break;
  }
  return true;
}

void
Exchange::HandleCallerDrained()
{
  if (mAttempt && !mIsFinished) {
    mAttempt->mLease.mConnection->SetReading(true);
  }
}

void
Exchange::HandleEnd(net::AnswerEnd aEnd)
{
  const auto self = shared_from_this();
  if (!mAttempt || mIsFinished) {
    return;
  }
  if (aEnd == net::AnswerEnd::Complete && mAttempt->IsMismatched()) {
    LOGW("Discarded a late response to another request. request="
         << mMetadata.mRequestId
         << " answeredRequest=" << mAttempt->mMetadata.mRequestId
         << " endpoint=" << mAttempt->mEndpoint.mId);
    mAttempt->mHead.reset();
    mAttempt->mHeadKind.reset();
    mAttempt->mLease.mConnection->AwaitNextAnswer(ResponseHandlers(*mAttempt));
    return;
  }
  if (aEnd == net::AnswerEnd::NotSent) {
    mLastFailure = "endpoint cannot be reached";
    EndAttempt(EndpointOutcome::Unreachable);
    Retry("not_sent");
    return;
  }
  if (mAttempt->mHead && mAttempt->mMetadata.mIsNotExecuted) {
    HandleNotExecuted();
    return;
  }
  if (aEnd == net::AnswerEnd::Complete && mStalledAttempt &&
      IsBrokenOffResumption()) {
    HandleBrokenAttempt("stream ended inside an event or without one");
    return;
  }
  if (aEnd == net::AnswerEnd::Complete && mAttempt->mIsForwarded) {
    EndStalledAttempt(EndpointOutcome::Failed);
  }
  if (aEnd == net::AnswerEnd::Complete && IsBrokenOffStream(*mAttempt)) {
    RecordBreak();
    HandleBrokenAttempt("stream ended inside an event or without one");
    return;
  }
  if (aEnd == net::AnswerEnd::Complete) {
    HandleComplete();
    return;
  }
  RecordBreak();
  HandleBrokenAttempt(std::string("response ended: ") +
                      std::string(net::NameOf(aEnd)));
}

bool
Exchange::IsBrokenOffResumption() const
{
  const bool isInsideEvent =
    mAttempt->mBody.find_first_not_of("\r\n") != std::string::npos;
  return mAttempt->mIsForwarded && IsEventStream() &&
         mRequest.mMethod != "HEAD" && !mAttempt->MayEndAnywhere() &&
         (isInsideEvent || !mAttempt->mHead->mIsChunked);
}

bool
Exchange::IsBrokenOffStream(const Attempt& aAttempt) const
{
  const bool isResumed = mResponse.LastEventId() || mMetadata.mLastEventId;
  return IsEventStream() && mRequest.mMethod != "HEAD" &&
         aAttempt.IsBrokenOffStream(mResponse, isResumed);
}

void
Exchange::RecordBreak()
{
  if (!mAttempt->mIsSound &&
      !mAttempt->WasStalled(mResponse, mContext.mClock.Now())) {
    mContext.mPromptGuard.RecordBreak(
      mMetadata, mAttempt->mEndpoint, mAttempt->mHead.has_value());
  }
}

void
Exchange::HandleComplete()
{
  const unsigned status = mAttempt->mHead->mStatus;
  const bool isFailure = status >= 500;
  // It cannot continue the stream.
  const bool isUnforwardedResumption =
    mResponse.HasBegun() && !mAttempt->mIsForwarded;
  if (mStalledAttempt && (isFailure || isUnforwardedResumption)) {
    mLastFailure = "endpoint returned status " + std::to_string(status);
    EndAttempt(isFailure ? EndpointOutcome::Failed
                         : EndpointOutcome::Inconclusive);
    ResumeStalledAttempt();
    return;
  }
  if (isFailure && !mAttempt->mIsForwarded && TryConsumeRetry()) {
    mMayHaveExecuted = true;
    mLastFailure = "endpoint returned status " + std::to_string(status);
    LOGI(
      "Endpoint returned a server error; retrying on another endpoint. request="
      << mMetadata.mRequestId << " endpoint=" << mAttempt->mEndpoint.mId
      << " status=" << status);
    EndAttempt(EndpointOutcome::Failed);
    PlaceRequest();
    return;
  }
  if (isUnforwardedResumption) {
    AbortResponse("endpoint returned status " + std::to_string(status) +
                  " for a resumed stream");
    return;
  }
  if (status / 100 == 2) {
    mContext.mPromptGuard.RecordSound(mMetadata);
  }
  EndStalledAttempt(EndpointOutcome::Failed);
  http::fields fields = mAttempt->mHead->mFields;
  RemoveHopByHopFields(fields);
  const std::string body = std::move(mAttempt->mBody);
  const bool isForwarded = mAttempt->mIsForwarded;
  mContext.mConnections.Release(mAttempt->mEndpoint,
                                mAttempt->mLease.mConnection,
                                mAttempt->mMetadata.mKeepAliveTimeout);
  mWait.RecordFreed();
  mContext.mBalancer.RecordOutcome(mAttempt->mEndpoint.mId,
                                   isFailure ? EndpointOutcome::Failed
                                             : EndpointOutcome::Succeeded);
  if (isForwarded) {
    Finish(status, kAnswered);
    mResponse.End();
    return;
  }
  if (mContext.mStop) {
    mCaller->AnnounceClose();
  }
  mResponse.BeginWhole(status);
  Finish(status, kAnswered);
  mCaller->Answer(status, std::move(fields), body);
}

void
Exchange::HandleNotExecuted()
{
  mLastFailure = "endpoint refused, not run";
  mWasRefused = true;
  LOGI("Endpoint refused the request. request="
       << mMetadata.mRequestId << " endpoint=" << mAttempt->mEndpoint.mId
       << " status=" << mAttempt->mHead->mStatus << " faultyEndpoint="
       << mAttempt->mMetadata.mFaultyEndpoint << " attempt=" << mAttempts);
  EndAttempt(mAttempt->mMetadata.mIsMisdirected ? EndpointOutcome::Unreachable
                                                : EndpointOutcome::Refused);
  Retry("not_run");
}

void
Exchange::HandleBrokenAttempt(const std::string& aReason)
{
  mLastFailure = aReason;
  mMayHaveExecuted = true;
  const bool wasReused =
    mAttempt->mLease.mIsReused && !mAttempt->mHead.has_value();
  LOGW("Attempt failed. request="
       << mMetadata.mRequestId << " endpoint=" << mAttempt->mEndpoint.mId
       << " attempt=" << mAttempts << " reused=" << wasReused
       << " reason=" << aReason);
  if (wasReused) {
    // The endpoint may have closed the idle connection just before.
    mTriedEndpoints.erase(mAttempt->mEndpoint.mId);
  }
  EndAttempt(wasReused ? EndpointOutcome::Inconclusive
                       : EndpointOutcome::Failed);
  if (!mAdmission.mRoute->IsRepeatable()) {
    if (mResponse.HasBegun()) {
      AbortResponse(aReason);
    } else {
      RespondLocally(502, aReason);
    }
    return;
  }
  Retry("broken");
}

bool
Exchange::CanRetry() const
{
  // Only an event stream can be resumed.
  const bool canContinue = !mResponse.HasBegun() || IsEventStream();
  return canContinue &&
         static_cast<int>(mTriedEndpoints.size()) <
           mAdmission.mRoute->mMaxAttempts &&
         mAttempts <= mAdmission.mRoute->mMaxAttempts &&
         mWait.RemainingTime() > milliseconds(20);
}

bool
Exchange::TryConsumeRetry() const
{
  return mAdmission.mRoute->IsRepeatable() && CanRetry() &&
         mContext.RetryBudgetFor(mPool).TryConsume();
}

void
Exchange::Retry(const std::string& aReason)
{
  if (mStalledAttempt) {
    ResumeStalledAttempt();
    return;
  }
  if (!CanRetry() || !mContext.RetryBudgetFor(mPool).TryConsume()) {
    FailRequest(mLastFailure);
    return;
  }
  mContext.mMetrics.Count("beryllever_repeats", { { "reason", aReason } });
  if (mResponse.HasBegun()) {
    mResponse.BeginResumption();
  }
  PlaceRequest();
}

void
Exchange::EndAttempt(EndpointOutcome aOutcome)
{
  mAttemptTimer.stop();
  End(std::move(mAttempt), aOutcome);
}

void
Exchange::End(std::unique_ptr<Attempt> aAttempt, EndpointOutcome aOutcome)
{
  if (!aAttempt) {
    return;
  }
  aAttempt->mLease.mConnection->Abort();
  if (aOutcome != EndpointOutcome::Refused &&
      aOutcome != EndpointOutcome::Unreachable) {
    mWait.RecordFreed();
  }
  mContext.mBalancer.RecordOutcome(aAttempt->mEndpoint.mId, aOutcome);
  mContext.WakeQueued();
}

void
Exchange::ResumeStalledAttempt()
{
  EndAttempt(EndpointOutcome::Inconclusive);
  mAttempt = std::move(mStalledAttempt);
  mLastEndpoint = mAttempt->mEndpoint.mId;
  LOGI("The first attempt continues; the second one has ended. request="
       << mMetadata.mRequestId << " endpoint=" << mLastEndpoint
       << " attempts=" << mAttempts << " reason=\"" << mLastFailure << "\"");
  mAttemptTimer.start(Attempt::kSilenceCheckInterval);
}

void
Exchange::EndStalledAttempt(EndpointOutcome aOutcome)
{
  if (!mStalledAttempt) {
    return;
  }
  End(std::move(mStalledAttempt), aOutcome);
  if (mResponse.HasBegun()) {
    mResponse.BeginResumption();
  }
  if (mAttempt && mAttempt->mIsForwarded) {
    mResponse.BeginContribution();
    mResponse.Write(std::exchange(mAttempt->mBody, {}));
  }
}

void
Exchange::HandleAttemptTimeout()
{
  if (!mAttempt || mIsFinished) {
    return;
  }
  if (!mAttempt->mLease.mConnection->IsConnected()) {
    mLastFailure = "endpoint does not accept the connection in time";
    EndAttempt(EndpointOutcome::Unreachable);
    Retry("no_connection");
    return;
  }
  const auto age = duration_cast<milliseconds>(mContext.mClock.Now() -
                                               mAttempt->LastDataAt(mResponse));
  const milliseconds limit =
    mAttempt->Timeout(IsEventStream(),
                      mContext.mBalancer.IsSilent(mAttempt->mEndpoint.mId),
                      mWait.TotalTime());
  if (age < limit) {
    mAttemptTimer.start(Attempt::TimeToNextCheck(age, limit));
    return;
  }
  // While data is pending, the pause may be due to a caller that reads slowly.
  if (mCaller->Pending() > 0) {
    mAttemptTimer.start(kStreamIdleTimeout);
    return;
  }
  TryHedge(age, limit);
}

void
Exchange::TryHedge(milliseconds aSilence, milliseconds aLimit)
{
  if (!mAdmission.mRoute->IsRepeatable() || !CanRetry()) {
    return;
  }
  const bool mustWait =
    mWait.MustQueue() ||
    mContext.mPromptGuard.FindRefusal(mMetadata).has_value();
  // The endpoint may only be busy: a place in another queue would add load and
  // gain nothing.
  const Placement placement = mustWait ? Placement{} : FindPlace(false);
  if (placement.mStatus != PlacementStatus::Chosen ||
      !mContext.RetryBudgetFor(mPool).TryConsume()) {
    // Backs off exponentially: selecting an endpoint costs time in proportion
    // to the pool, and many requests may stall at once.
    mAttemptTimer.start(std::clamp(aSilence - aLimit,
                                   Attempt::kSilenceCheckInterval,
                                   Attempt::kMaxSilenceCheckInterval));
    return;
  }
  LOGW("Endpoint sent no data in time; starting a second attempt. request="
       << mMetadata.mRequestId << " endpoint=" << mAttempt->mEndpoint.mId
       << " silentMilliseconds=" << aSilence.count()
       << " otherEndpoint=" << placement.mEndpoint->mId);
  mContext.mMetrics.Count("beryllever_repeats", { { "reason", "silent" } });
  mMayHaveExecuted = true;
  mLastFailure = "endpoint sent no data in time";
  if (mStalledAttempt) {
    EndAttempt(EndpointOutcome::Failed);
  } else {
    mStalledAttempt = std::move(mAttempt);
  }
  Send(*placement.mEndpoint);
}

void
Exchange::HandleDeadline()
{
  if (mIsFinished) {
    return;
  }
  // The timer may fire slightly early.
  if (mContext.mClock.Now() < mWait.Deadline()) {
    StartDeadlineTimer();
    return;
  }
  if (mResponse.HasBegun()) {
    AbortResponse("deadline passed during the response");
    return;
  }
  const bool wasSent = mMayHaveExecuted || mAttempt != nullptr;
  if (wasSent) {
    RespondLocally(504, "deadline passed at the endpoint");
    return;
  }
  RespondLocally(
    503, "deadline passed while waiting for an endpoint", kRetryAfterFull);
}

void
Exchange::HandleCallerGone()
{
  if (mIsFinished) {
    return;
  }
  const auto self = shared_from_this();
  EndAttempt(EndpointOutcome::Inconclusive);
  Finish(499, "caller disconnected");
}

void
Exchange::HandleStop()
{
  if (mIsFinished) {
    return;
  }
  const auto self = shared_from_this();
  mMayHaveExecuted = mMayHaveExecuted || mAttempt != nullptr;
  mContext.mMetrics.Count("beryllever_requests_ended_by_stop",
                          { { "sent", mMayHaveExecuted ? "1" : "0" } });
  FailRequest("the gateway stops");
}

void
Exchange::RespondLocally(unsigned aStatus,
                         const std::string& aReason,
                         std::optional<milliseconds> aRetryAfter)
{
  const auto self = shared_from_this();
  EndAttempt(EndpointOutcome::Inconclusive);
  http::fields fields =
    mContext.mCodec.LocalResponseFields(mMetadata.mRequestId, aRetryAfter);
  fields.set(http::field::content_type, "text/plain");
  const auto caller = mCaller;
  if (mContext.mStop) {
    caller->AnnounceClose();
  }
  Finish(aStatus, aReason);
  caller->Answer(aStatus, std::move(fields), aReason + "\n");
}

void
Exchange::AbortResponse(const std::string& aReason)
{
  const auto self = shared_from_this();
  EndAttempt(EndpointOutcome::Inconclusive);
  const auto caller = mCaller;
  mContext.mMetrics.Count("beryllever_cut_responses",
                          { { "reason", aReason } });
  Finish(mResponse.Status(), "cut: " + aReason);
  caller->Cut();
}

void
Exchange::Finish(unsigned aStatus, const std::string& aOutcome)
{
  mIsFinished = true;
  mDeadlineTimer.stop();
  mAttemptTimer.stop();
  mWait.Leave();
  LogEnd(aStatus, aOutcome);
  mContext.mMetrics.Count("beryllever_requests",
                          { { "status", std::to_string(aStatus) } });
  mContext.mMetrics.Sample("beryllever_request_milliseconds",
                           static_cast<double>(mWait.Elapsed().count()));
  mAttempt.reset();
  EndStalledAttempt(EndpointOutcome::Inconclusive);
  mContext.WakeQueued();
  if (const auto onEnd = std::move(mOnEnd)) {
    onEnd();
  }
}

void
Exchange::LogEnd(unsigned aStatus, const std::string& aOutcome) const
{
  EndedRequest ended{ .mRequest = mMetadata.mRequestId,
                      .mRoute = mAdmission.mRoute == nullptr
                                  ? ""
                                  : mAdmission.mRoute->mName,
                      .mPool = mPool,
                      .mEndpoint = mLastEndpoint,
                      .mStatus = aStatus,
                      .mAttempts = mAttempts,
                      .mOrdinal = mRequest.mOrdinal,
                      .mTimeToFirstByte = mResponse.TimeToFirstByte(),
                      .mLongestPause = mResponse.LongestPause(),
                      .mElapsed = mWait.Elapsed(),
                      .mVersion = mSnapshot->Version(),
                      .mRevision = mContext.mSnapshot->Revision(),
                      .mOutcome = aOutcome };
  if (mContext.mStop) {
    ended.mArrivedAfterStop =
      duration_cast<milliseconds>(mRequest.mArrival - mContext.mStop->mBegin);
  }
  if (aOutcome != kAnswered) {
    ended.mLocalEnd =
      EndedRequest::LocalEnd{ .mLimit =
                                duration_cast<milliseconds>(mWait.TotalTime()),
                              .mVersionInForce = mContext.mSnapshot->Version(),
                              .mLastFailure = mLastFailure };
    if (mAdmission.mRoute != nullptr) {
      ended.mLocalEnd->mLimit = duration_cast<milliseconds>(mWait.TotalTime());
    }
    if (mResponse.HasBegun()) {
      ended.mLocalEnd->mSilence = duration_cast<milliseconds>(
        mContext.mClock.Now() - mResponse.LastForward());
    }
  }
  LOGI("Ended. " << FieldsText(ended));
}

}
