#include "gateway/internal/exchange.h"

#include "framework/log/log.h"
#include "gateway/internal/headerfields.h"

#include <boost/algorithm/string/predicate.hpp>

namespace beryllever::gateway {

namespace {

namespace http = net::http;
using published::RouteKind;
using std::chrono::duration_cast;

constexpr char kLogTag[] = "request";

/** Time in which a connection to a live endpoint stands; one way is under
 * 1 ms, so this leaves room for one endpoint that is busy. */
constexpr milliseconds kConnectTime{ 300 };
/** Longest wait for a free endpoint; callers of streams leave after 2 s without
 * an event. */
constexpr milliseconds kMaxWait{ 900 };
/** Share of a request's time that it may wait for a free endpoint. */
constexpr double kMaxWaitShare = 0.4;
/** Time without any byte after which a resumable stream goes elsewhere; beyond
 * a group's stall, and before callers leave. */
constexpr milliseconds kSilentStream{ 1750 };
/** Share of its time after which an idempotent request goes elsewhere. */
constexpr double kSilentShare = 0.35;
/** Answers up to this size are passed on only once they are whole. */
constexpr size_t kMaxHeldAnswer = 256 * 1024;
/** Bytes that may wait for a slow caller before the endpoint is held back. */
constexpr size_t kMaxPending = 64 * 1024;
constexpr milliseconds kDefaultTime{ 30000 };
/** Time after which a full pool has probably a free place: a few answers. */
constexpr milliseconds kRetryAfterFull{ 400 };
/** Times that a group takes to form, after which one that refuses requests is
 * probably open: it stalls before it forms. */
constexpr int kFormTimes = 2;
/** Share of the time left up to which callers wait as they are told. */
constexpr int kRetryAfterShare = 3;
constexpr milliseconds kRetryAfterUnknown{ 700 };
/** Requests of one entry that may wait. */
constexpr size_t kMaxWaiting = 64;

}

Exchange::Exchange(Traffic& aTraffic,
                   std::shared_ptr<net::HttpServerConnection> aCaller,
                   net::ServerRequest aRequest,
                   std::function<void()> aOnEnd)
  : mTraffic(aTraffic)
  , mCaller(std::move(aCaller))
  , mRequest(std::move(aRequest))
  , mOnEnd(std::move(aOnEnd))
  , mSnapshot(aTraffic.mSnapshot)
  , mFacts(aTraffic.mCodec.ReadRequest(mRequest.mFields))
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
  if (!TakeAdmission()) {
    return;
  }
  SetDeadlines();
  mTraffic.RetriesOf(mPool).NoteRequest();
  Place();
}

bool
Exchange::TakeAdmission()
{
  const auto verdict = gateway::Admit(
    *mSnapshot, HostOf(mRequest.mFields), mRequest.Path(), mFacts.mKey);
  if (const auto* rejection = std::get_if<Rejection>(&verdict)) {
    const bool isForNow = rejection->mStatus == 503;
    AnswerOwn(rejection->mStatus,
              rejection->mReason,
              isForNow ? std::optional(kRetryAfterUnknown) : std::nullopt);
    return false;
  }
  mAdmission = std::get<Admission>(verdict);
  mPool = DrawPool(*mAdmission.mRoute, mTraffic.mRandom);
  return true;
}

void
Exchange::SetDeadlines()
{
  mHasCallerDeadline = mFacts.mTimeLeft.has_value();
  milliseconds time = mFacts.mTimeLeft.value_or(kDefaultTime);
  if (mAdmission.mRoute->mTimeout.count() > 0) {
    time = std::min(time, mAdmission.mRoute->mTimeout);
  }
  mDeadline = mRequest.mArrival + time;
  const auto wait =
    std::min(kMaxWait, duration_cast<milliseconds>(time * kMaxWaitShare));
  mWaitDeadline = mRequest.mArrival + wait;
  mDeadlineTimer.start(std::max(milliseconds(0), Left()));
}

void
Exchange::Place()
{
  if (mIsOver) {
    return;
  }
  const PlacementWish wish{ mPool, mTraffic.mAvailabilityZone, mTried };
  const Placement placement =
    mTraffic.mLedger.Choose(*mTraffic.mSnapshot, wish);
  if (placement.mChoice == Choice::Chosen) {
    Send(*placement.mEndpoint);
    return;
  }
  if (placement.mChoice == Choice::Full) {
    WaitForTurn();
    return;
  }
  RefuseForNow(mLastFailure.empty() ? "no endpoint is in service"
                                    : mLastFailure);
}

void
Exchange::WaitForTurn()
{
  if (mTraffic.mClock.Now() >= mWaitDeadline ||
      mTraffic.Waiting() >= kMaxWaiting) {
    RefuseForNow("all endpoints are full");
    return;
  }
  const std::weak_ptr<Exchange> weak = weak_from_this();
  mTicket = mTraffic.Wait(mAdmission.mPriority, [weak] {
    if (const auto self = weak.lock()) {
      self->mTicket = 0;
      self->Place();
    }
  });
}

void
Exchange::RefuseForNow(const std::string& aReason)
{
  if (mHasBegunAnswer) {
    CutAnswer(aReason);
    return;
  }
  if (mMayHaveRun) {
    AnswerOwn(502, aReason);
    return;
  }
  AnswerOwn(503, aReason, RetryAfter());
}

void
Exchange::Send(const published::Endpoint& aEndpoint)
{
  mAttempt = std::make_unique<Attempt>();
  mAttempt->mEndpoint = aEndpoint;
  mAttempt->mSentAt = mTraffic.mClock.Now();
  mLastEndpoint = aEndpoint.mId;
  mTried.insert(aEndpoint.mId);
  ++mAttempts;
  mTraffic.mLedger.NoteSent(aEndpoint.mId);
  mAttempt->mLease = mTraffic.mConnections.Acquire(
    aEndpoint, !mAdmission.mRoute->IsRepeatable());
  mAttemptTimer.start(kConnectTime);
  mAttempt->mLease.mConnection->Send(
    RequestText(aEndpoint), AnswerHandlers(), mRequest.mMethod == "HEAD");
}

std::string
Exchange::RequestText(const published::Endpoint& aEndpoint) const
{
  http::fields fields = mRequest.mFields;
  EraseConnectionFields(fields);
  if (mRequest.mHasBody) {
    fields.set(http::field::content_length,
               std::to_string(mRequest.mBody.size()));
  }
  AttemptFacts facts{ .mEndpointId = aEndpoint.mId,
                      .mWorkspace = mAdmission.mWorkspace };
  if (mHasCallerDeadline) {
    facts.mTimeLeft = std::max(milliseconds(1), Left());
  }
  facts.mResumeAfter =
    mEvents.LastId() ? mEvents.LastId() : mFacts.mResumeAfter;
  mTraffic.mCodec.PrepareAttempt(fields, facts);
  return net::HeadText(mRequest.mMethod + " " + mRequest.mTarget + " HTTP/1.1",
                       fields) +
         mRequest.mBody;
}

net::HttpClientConnection::Handlers
Exchange::AnswerHandlers()
{
  const std::weak_ptr<Exchange> weak = weak_from_this();
  return { .mOnHead =
             [weak](const net::AnswerHead& aHead) {
               if (const auto self = weak.lock()) {
                 self->HandleHead(aHead);
               }
             },
           .mOnBody =
             [weak](std::string_view aBytes) {
               if (const auto self = weak.lock()) {
                 self->HandleBody(aBytes);
               }
             },
           .mOnEnd =
             [weak](net::AnswerEnd aEnd) {
               if (const auto self = weak.lock()) {
                 self->HandleEnd(aEnd);
               }
             } };
}

void
Exchange::HandleHead(const net::AnswerHead& aHead)
{
  mAttempt->mHead = aHead;
  mAttempt->mFacts = mTraffic.mCodec.ReadAnswer(aHead);
  mAttempt->mBody.clear();
  const AnswerFacts& facts = mAttempt->mFacts;
  mAttempt->mIsForeign =
    !facts.mRequestId.empty() && facts.mRequestId != mFacts.mRequestId;
  if (mAttempt->mIsForeign || facts.mIsNotRun) {
    return;
  }
  if (aHead.mStatus / 100 == 2 &&
      (!facts.mIsSigned || facts.mRequestId.empty())) {
    HandleBroken("answer is not signed");
    return;
  }
  if (IsEventStream() && aHead.mStatus / 100 == 2) {
    PassHead();
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
  if (!mAttempt || mAttempt->mIsForeign) {
    return;
  }
  if (mAttempt->mIsPassedOn) {
    PassBody(aBytes);
    return;
  }
  mAttempt->mBody.append(aBytes);
  const bool isOk = mAttempt->mHead->mStatus / 100 == 2;
  if (mAttempt->mBody.size() > kMaxHeldAnswer && isOk) {
    const std::string body = std::move(mAttempt->mBody);
    mAttempt->mBody.clear();
    PassHead();
    PassBody(body);
  }
}

void
Exchange::PassHead()
{
  mAttempt->mIsPassedOn = true;
  if (mHasBegunAnswer) {
    return;
  }
  mHasBegunAnswer = true;
  mFirstByte = Elapsed();
  mAnsweredStatus = mAttempt->mHead->mStatus;
  http::fields fields = mAttempt->mHead->mFields;
  EraseConnectionFields(fields);
  fields.erase(http::field::content_length);
  if (mTraffic.mIsLeaving) {
    mCaller->AnnounceClose();
  }
  mCaller->BeginAnswer(mAnsweredStatus, std::move(fields));
}

void
Exchange::PassBody(std::string_view aBytes)
{
  mAttemptTimer.start(kSilentStream);
  if (!IsEventStream()) {
    mCaller->WriteBody(aBytes);
  } else {
    const std::string events = mEvents.Take(aBytes);
    if (mEvents.HasGap()) {
      CutAnswer("resumed stream leaves events out");
      return;
    }
    mCaller->WriteBody(events);
  }
  if (mCaller->Pending() > kMaxPending) {
    mAttempt->mLease.mConnection->SetReading(false);
  }
}

void
Exchange::HandleCallerDrained()
{
  if (mAttempt && !mIsOver) {
    mAttempt->mLease.mConnection->SetReading(true);
  }
}

void
Exchange::HandleEnd(net::AnswerEnd aEnd)
{
  const auto self = shared_from_this();
  if (!mAttempt || mIsOver) {
    return;
  }
  if (aEnd == net::AnswerEnd::Complete && mAttempt->mIsForeign) {
    LOGW("Late answer to another request is dropped. request="
         << mFacts.mRequestId << " foreign=" << mAttempt->mFacts.mRequestId
         << " endpoint=" << mAttempt->mEndpoint.mId);
    mAttempt->mHead.reset();
    mAttempt->mIsForeign = false;
    mAttempt->mLease.mConnection->AwaitNextAnswer(AnswerHandlers());
    return;
  }
  if (aEnd == net::AnswerEnd::NotSent) {
    mLastFailure = "endpoint cannot be reached";
    DropAttempt(EndpointOutcome::Unreachable);
    TryAgain("not_sent");
    return;
  }
  if (mAttempt->mHead && mAttempt->mFacts.mIsNotRun) {
    HandleNotRun();
    return;
  }
  if (aEnd == net::AnswerEnd::Complete) {
    HandleWhole();
    return;
  }
  HandleBroken(std::string("answer ended: ") + std::string(net::NameOf(aEnd)));
}

void
Exchange::HandleWhole()
{
  const unsigned status = mAttempt->mHead->mStatus;
  const bool isFailure = status >= 500;
  if (isFailure && MayRepeat()) {
    mMayHaveRun = true;
    mLastFailure = "endpoint answered " + std::to_string(status);
    LOGI("Endpoint failed; the request goes elsewhere. request="
         << mFacts.mRequestId << " endpoint=" << mAttempt->mEndpoint.mId
         << " status=" << status);
    DropAttempt(EndpointOutcome::Failed);
    Place();
    return;
  }
  if (mHasBegunAnswer && !mAttempt->mIsPassedOn) {
    CutAnswer("endpoint answered " + std::to_string(status) +
              " to a resumption");
    return;
  }
  if (mAttempt->mIsPassedOn) {
    if (IsEventStream()) {
      mCaller->WriteBody(mEvents.TakeRest());
    }
  } else {
    mAnsweredStatus = status;
    mFirstByte = Elapsed();
    if (mTraffic.mIsLeaving) {
      mCaller->AnnounceClose();
    }
  }
  http::fields fields = mAttempt->mHead->mFields;
  EraseConnectionFields(fields);
  const std::string body = std::move(mAttempt->mBody);
  const bool isPassedOn = mAttempt->mIsPassedOn;
  mTraffic.mConnections.Release(mAttempt->mEndpoint,
                                mAttempt->mLease.mConnection,
                                mAttempt->mFacts.mKeepAlive);
  mTraffic.mLedger.NoteEnded(mAttempt->mEndpoint.mId,
                             isFailure ? EndpointOutcome::Failed
                                       : EndpointOutcome::Good);
  const auto caller = mCaller;
  Finish(status, "answered");
  if (isPassedOn) {
    caller->EndAnswer();
    return;
  }
  caller->Answer(status, std::move(fields), body);
}

void
Exchange::HandleNotRun()
{
  mLastFailure = "endpoint refused, not run";
  mWasRefused = true;
  LOGI("Endpoint refused the request. request="
       << mFacts.mRequestId << " endpoint=" << mAttempt->mEndpoint.mId
       << " status=" << mAttempt->mHead->mStatus << " blamed="
       << mAttempt->mFacts.mFaultyEndpoint << " attempt=" << mAttempts);
  DropAttempt(mAttempt->mFacts.mIsMisdirected ? EndpointOutcome::Unreachable
                                              : EndpointOutcome::Refused);
  TryAgain("not_run");
}

void
Exchange::HandleBroken(const std::string& aReason)
{
  mLastFailure = aReason;
  mMayHaveRun = true;
  const bool wasReused =
    mAttempt->mLease.mIsReused && !mAttempt->mHead.has_value();
  LOGW("Attempt failed. request="
       << mFacts.mRequestId << " endpoint=" << mAttempt->mEndpoint.mId
       << " attempt=" << mAttempts << " reused=" << wasReused
       << " reason=" << aReason);
  if (wasReused) {
    // The peer may just have dropped an idle connection.
    mTried.erase(mAttempt->mEndpoint.mId);
  }
  DropAttempt(wasReused ? EndpointOutcome::Abandoned : EndpointOutcome::Failed);
  if (!mAdmission.mRoute->IsRepeatable()) {
    if (mHasBegunAnswer) {
      CutAnswer(aReason);
    } else {
      AnswerOwn(502, aReason);
    }
    return;
  }
  TryAgain("broken");
}

bool
Exchange::MayAttemptAgain() const
{
  return static_cast<int>(mTried.size()) < mAdmission.mRoute->mMaxAttempts &&
         mAttempts <= mAdmission.mRoute->mMaxAttempts &&
         Left() > milliseconds(20);
}

bool
Exchange::MayRepeat() const
{
  return mAdmission.mRoute->IsRepeatable() && MayAttemptAgain() &&
         mTraffic.RetriesOf(mPool).TrySpend();
}

void
Exchange::TryAgain(const std::string& aReason)
{
  if (!MayAttemptAgain() || !mTraffic.RetriesOf(mPool).TrySpend()) {
    RefuseForNow(mLastFailure);
    return;
  }
  mTraffic.mMetrics.Count("beryllever_repeats", { { "reason", aReason } });
  if (mHasBegunAnswer) {
    mEvents.BeginResumption();
  }
  Place();
}

void
Exchange::DropAttempt(EndpointOutcome aOutcome)
{
  mAttemptTimer.stop();
  if (!mAttempt) {
    return;
  }
  const auto attempt = std::move(mAttempt);
  attempt->mLease.mConnection->Abort();
  mTraffic.mLedger.NoteEnded(attempt->mEndpoint.mId, aOutcome);
  mTraffic.Wake();
}

void
Exchange::HandleAttemptTimeout()
{
  if (!mAttempt || mIsOver) {
    return;
  }
  if (!mAttempt->mLease.mConnection->IsConnected()) {
    mLastFailure = "endpoint does not accept the connection in time";
    DropAttempt(EndpointOutcome::Unreachable);
    TryAgain("no_connection");
    return;
  }
  const auto age =
    duration_cast<milliseconds>(mTraffic.mClock.Now() - mAttempt->mSentAt);
  const milliseconds limit =
    IsEventStream() ? kSilentStream
                    : duration_cast<milliseconds>(
                        (mDeadline - mRequest.mArrival) * kSilentShare);
  if (!mAttempt->mIsPassedOn && age < limit) {
    mAttemptTimer.start(limit - age);
    return;
  }
  // A caller that reads slowly is no silence of the endpoint.
  if (mCaller->Pending() > 0) {
    mAttemptTimer.start(kSilentStream);
    return;
  }
  if (!MayRepeat()) {
    return;
  }
  mMayHaveRun = true;
  mLastFailure = "endpoint is silent";
  LOGW("Endpoint is silent; the request goes elsewhere. request="
       << mFacts.mRequestId << " endpoint=" << mAttempt->mEndpoint.mId
       << " silentMilliseconds=" << age.count());
  DropAttempt(EndpointOutcome::Failed);
  if (mHasBegunAnswer) {
    mEvents.BeginResumption();
  }
  Place();
}

void
Exchange::HandleDeadline()
{
  if (mIsOver) {
    return;
  }
  if (mHasBegunAnswer) {
    CutAnswer("deadline passed during the answer");
    return;
  }
  const bool wasSent = mMayHaveRun || mAttempt != nullptr;
  if (wasSent) {
    AnswerOwn(504, "deadline passed at the endpoint");
    return;
  }
  AnswerOwn(503, "deadline passed while waiting", kRetryAfterFull);
}

void
Exchange::HandleCallerGone()
{
  if (mIsOver) {
    return;
  }
  const auto self = shared_from_this();
  DropAttempt(EndpointOutcome::Abandoned);
  Finish(499, "caller left");
}

void
Exchange::AnswerOwn(unsigned aStatus,
                    const std::string& aReason,
                    std::optional<milliseconds> aRetryAfter)
{
  const auto self = shared_from_this();
  DropAttempt(EndpointOutcome::Abandoned);
  http::fields fields =
    mTraffic.mCodec.OwnAnswerFields(mFacts.mRequestId, aRetryAfter);
  fields.set(http::field::content_type, "text/plain");
  const auto caller = mCaller;
  if (mTraffic.mIsLeaving) {
    caller->AnnounceClose();
  }
  Finish(aStatus, aReason);
  caller->Answer(aStatus, std::move(fields), aReason + "\n");
}

void
Exchange::CutAnswer(const std::string& aReason)
{
  const auto self = shared_from_this();
  DropAttempt(EndpointOutcome::Abandoned);
  const auto caller = mCaller;
  Finish(mAnsweredStatus, "cut: " + aReason);
  caller->Cut();
}

void
Exchange::Finish(unsigned aStatus, const std::string& aOutcome)
{
  mIsOver = true;
  mDeadlineTimer.stop();
  mAttemptTimer.stop();
  if (mTicket != 0) {
    mTraffic.StopWaiting(mTicket);
  }
  const std::string route =
    mAdmission.mRoute == nullptr ? "" : mAdmission.mRoute->mName;
  LOGI("Ended. request=" << mFacts.mRequestId << " route=" << route
                         << " pool=" << mPool << " endpoint=" << mLastEndpoint
                         << " status=" << aStatus << " attempts=" << mAttempts
                         << " firstByteMilliseconds="
                         << mFirstByte.value_or(milliseconds(-1)).count()
                         << " milliseconds=" << Elapsed().count()
                         << " version=" << mSnapshot->Version()
                         << " revision=" << mTraffic.mSnapshot->Revision()
                         << " outcome=\"" << aOutcome << "\"");
  mTraffic.mMetrics.Count("beryllever_requests",
                          { { "status", std::to_string(aStatus) } });
  mTraffic.mMetrics.Sample("beryllever_request_milliseconds",
                           static_cast<double>(Elapsed().count()));
  mAttempt.reset();
  mTraffic.Wake();
  if (const auto onEnd = std::move(mOnEnd)) {
    onEnd();
  }
}

milliseconds
Exchange::Left() const
{
  return duration_cast<milliseconds>(mDeadline - mTraffic.mClock.Now());
}

milliseconds
Exchange::Elapsed() const
{
  return duration_cast<milliseconds>(mTraffic.mClock.Now() - mRequest.mArrival);
}

milliseconds
Exchange::RetryAfter()
{
  const published::Pool* pool = mTraffic.mSnapshot->FindPool(mPool);
  milliseconds usual = kRetryAfterFull;
  if (mWasRefused && pool != nullptr && pool->mEngine) {
    usual = std::max(usual, kFormTimes * pool->mEngine->mGroupFormTime);
  }
  std::uniform_real_distribution<double> spread(0.7, 1.3);
  return std::min(duration_cast<milliseconds>(usual * spread(mTraffic.mRandom)),
                  std::max(milliseconds(0), Left()) / kRetryAfterShare);
}

}
