#include "entry/internal/ticketsession.h"

#include "transport/tokens.h"
#include "transport/unary.h"

#include <QTimer>
#include <nlohmann/json.hpp>

namespace beryllever::entry {

using global::Error;
using global::ErrorKind;

namespace {

constexpr std::chrono::milliseconds kUnaryTimeout{ 1000 };
constexpr std::chrono::milliseconds kRetryDelay{ 50 };
/** Time limit for querying the outcome of a request whose response was lost. */
constexpr std::chrono::milliseconds kSettleTimeout{ 3000 };

std::chrono::system_clock::time_point
UnaryDeadline()
{
  return std::chrono::system_clock::now() + kUnaryTimeout;
}

}

TicketSession::TicketSession(SessionContext& aContext,
                             net::HttpExchange* aExchange,
                             CallerRequest aRequest,
                             TicketPurpose aPurpose,
                             std::optional<v1::Ticket> aTicket)
  : Session(aContext, aExchange, std::move(aRequest), "entry")
  , mPurpose(aPurpose)
  , mIsCallersTicket(aTicket.has_value())
  , mTicket(std::move(aTicket))
{
}

void
TicketSession::Begin()
{
  Acquire(false);
}

void
TicketSession::HandleDisconnect()
{
  // The request continues: the caller can query its outcome by the ticket.
  Finish("caller_gone");
}

void
TicketSession::Acquire(bool aIsRetry)
{
  PlacementRequest request = MakePlacementRequest();
  request.mTriedEndpoints = mTriedEndpoints;
  request.mIsRetry = aIsRetry;
  request.mFixedEndpoint = mTicket ? mTicket->endpoint() : "";
  const auto self = Self<TicketSession>();
  mContext.mRouter.Acquire(
    std::move(request),
    mContext.mTrafficContext,
    [self](const Decision& aDecision) { self->HandleDecision(aDecision); });
}

void
TicketSession::HandleDecision(const Decision& aDecision)
{
  if (const auto* error = std::get_if<Error>(&aDecision)) {
    Fail(*error);
    return;
  }
  mPlacement = std::get<Placement>(aDecision);
  mSpan.mAttributes["endpoint"] = mPlacement->mAddress;
  if (mPurpose == TicketPurpose::Settle) {
    Settle();
  } else if (!mTicket) {
    Issue();
  } else {
    Execute();
  }
}

void
TicketSession::Issue()
{
  v1::IssueTicketRequest request;
  request.set_entry(mContext.mSettings->VmName());
  const auto self = Self<TicketSession>();
  transport::CallUnary<v1::IssueTicketRequest, v1::Ticket>(
    mContext.mTrafficContext,
    request,
    UnaryDeadline(),
    [stub = mPlacement->mStub](
      auto* aContext, const auto* aRequest, auto* aReply, auto aOnDone) {
      stub->async()->IssueTicket(aContext, aRequest, aReply, aOnDone);
    },
    [self](const grpc::Status& aStatus, const v1::Ticket& aTicket) {
      self->HandleIssued(aStatus, aTicket);
    });
}

void
TicketSession::HandleIssued(const grpc::Status& aStatus,
                            const v1::Ticket& aTicket)
{
  // A ticket whose reply was lost is never used, so another one may be issued.
  if (!aStatus.ok()) {
    mTriedEndpoints.insert(mPlacement->mAddress);
    EndAttempt(PlacementResult::Failed);
    if (IsPastDeadline()) {
      Fail({ ErrorKind::NotRun, "no endpoint has issued a ticket" });
    } else {
      Acquire(true);
    }
    return;
  }
  mTicket = aTicket;
  if (mPurpose == TicketPurpose::Issue) {
    EndAttempt(PlacementResult::Served);
    const nlohmann::json body{ { "ticket",
                                 transport::EncodeTicket(*mTicket) } };
    if (mExchange) {
      ReplyJson(mExchange, 201, body.dump());
    }
    Finish("answered");
    return;
  }
  Execute();
}

void
TicketSession::Execute()
{
  v1::ExecuteRequest request;
  request.set_entry(mContext.mSettings->VmName());
  request.set_workspace(mRequest.mWorkspace);
  request.set_kind(mRequest.mKind);
  request.set_body(mRequest.mBody);
  request.set_traceparent(mSpan.mContext.ToHeader());
  request.set_priority(mRequest.mRoute->mPriority);
  *request.mutable_ticket() = *mTicket;
  const auto remaining =
    std::chrono::duration_cast<std::chrono::system_clock::duration>(
      mRequest.mDeadline - mContext.mClock.Now());
  const uint64_t attempt = ++mAttempt;
  mResponseBody.clear();
  const auto self = Self<TicketSession>();
  const auto stub = mPlacement->mStub;
  mCall = Call::Start(
    mContext.mTrafficContext,
    std::move(request),
    std::chrono::system_clock::now() + remaining,
    [stub](auto* aContext, const auto* aRequest, auto* aReactor) {
      stub->async()->Execute(aContext, aRequest, aReactor);
    },
    [self, attempt](const v1::ExecuteUpdate& aUpdate) {
      self->HandleUpdate(attempt, aUpdate);
    },
    [self, attempt, stub](const grpc::Status&) {
      self->HandleCallEnd(attempt);
    });
  mCall->Read();
}

void
TicketSession::HandleUpdate(uint64_t aAttempt, const v1::ExecuteUpdate& aUpdate)
{
  if (mIsFinished || aAttempt != mAttempt) {
    return;
  }
  if (aUpdate.has_failure()) {
    HandleFailure({ global::KindNamed(aUpdate.failure().kind()),
                    aUpdate.failure().message() });
  } else if (aUpdate.has_end()) {
    SendResponse();
  } else {
    if (aUpdate.has_head()) {
      mStatus = aUpdate.head().http_status();
      mContentType = aUpdate.head().content_type();
    }
    mResponseBody += aUpdate.chunk().data();
    mCall->Read();
  }
}

void
TicketSession::HandleFailure(const Error& aError)
{
  if (aError.mKind == ErrorKind::Overloaded && !IsPastDeadline()) {
    // The ticket is still open, and can only be run at this endpoint.
    if (mIsCallersTicket) {
      EndAttempt(PlacementResult::Refused);
      RetryLater(&TicketSession::Begin);
    } else {
      Settle();
    }
    return;
  }
  if (aError.mKind == ErrorKind::NotRun) {
    HandleVoidTicket(aError.mMessage);
  } else if (aError.mKind == ErrorKind::UnknownTicket) {
    EndAttempt(PlacementResult::Refused);
    Fail(aError);
  } else {
    Settle();
  }
}

void
TicketSession::HandleCallEnd(uint64_t aAttempt)
{
  if (!mIsFinished && aAttempt == mAttempt) {
    Settle();
  }
}

void
TicketSession::Settle()
{
  ++mAttempt;
  if (mSettleDeadline == global::TimePoint::max()) {
    mSettleDeadline = mContext.mClock.Now() + kSettleTimeout;
  }
  v1::SettleTicketRequest request;
  *request.mutable_ticket() = *mTicket;
  const auto self = Self<TicketSession>();
  const auto stub = mPlacement->mStub;
  transport::CallUnary<v1::SettleTicketRequest, v1::TicketOutcome>(
    mContext.mTrafficContext,
    request,
    UnaryDeadline(),
    [stub](auto* aContext, const auto* aRequest, auto* aReply, auto aOnDone) {
      stub->async()->SettleTicket(aContext, aRequest, aReply, aOnDone);
    },
    [self, stub](const grpc::Status& aStatus,
                 const v1::TicketOutcome& aOutcome) {
      self->HandleSettled(aStatus, aOutcome);
    });
}

void
TicketSession::HandleSettled(const grpc::Status& aStatus,
                             const v1::TicketOutcome& aOutcome)
{
  const bool isRunning =
    aStatus.ok() && aOutcome.state() == v1::TICKET_STATE_RUNNING;
  if ((!aStatus.ok() || isRunning) && !IsPastSettleDeadline()) {
    RetryLater(&TicketSession::Settle);
    return;
  }
  if (!aStatus.ok()) {
    FailWithUnknownOutcome("the endpoint is unreachable");
    return;
  }
  switch (aOutcome.state()) {
    case v1::TICKET_STATE_DONE:
      mStatus = aOutcome.http_status();
      mResponseBody = aOutcome.body();
      SendResponse();
      return;
    case v1::TICKET_STATE_VOID:
      HandleVoidTicket("the request has not run and never will");
      return;
    case v1::TICKET_STATE_FOREIGN:
      EndAttempt(PlacementResult::Served);
      Fail({ ErrorKind::UnknownTicket,
             "the ticket was not issued by its endpoint" });
      return;
    default:
      FailWithUnknownOutcome(
        isRunning ? "the request is still running"
                  : "the endpoint does not know whether it has run");
  }
}

void
TicketSession::HandleVoidTicket(const std::string& aMessage)
{
  EndAttempt(PlacementResult::Refused);
  const bool mayTryElsewhere =
    mPurpose == TicketPurpose::Run && !mIsCallersTicket && !IsPastDeadline();
  if (!mayTryElsewhere) {
    mIsFinished = true;
    Fail({ ErrorKind::NotRun, aMessage });
    return;
  }
  mTriedEndpoints.insert(mTicket->endpoint());
  mTicket.reset();
  mSettleDeadline = global::TimePoint::max();
  Acquire(true);
}

void
TicketSession::RetryLater(Step aStep)
{
  const auto self = Self<TicketSession>();
  QTimer::singleShot(kRetryDelay, mContext.mTrafficContext, [self, aStep] {
    (self.get()->*aStep)();
  });
}

void
TicketSession::SendResponse()
{
  mIsFinished = true;
  EndAttempt(PlacementResult::Served);
  if (mExchange) {
    mExchange->Reply(
      mStatus,
      { { "Content-Type", QByteArray::fromStdString(mContentType) },
        { "X-Ticket",
          QByteArray::fromStdString(transport::EncodeTicket(*mTicket)) } },
      QByteArray::fromStdString(mResponseBody));
    Finish("answered");
  }
}

void
TicketSession::FailWithUnknownOutcome(const std::string& aMessage)
{
  mIsFinished = true;
  EndAttempt(PlacementResult::Failed);
  Fail({ ErrorKind::OutcomeUnknown, aMessage },
       { .mTicket = transport::EncodeTicket(*mTicket) });
}

void
TicketSession::EndAttempt(PlacementResult aResult)
{
  ++mAttempt;
  if (mCall) {
    mCall->Cancel();
    mCall.reset();
  }
  if (mPlacement) {
    mContext.mRouter.ReleasePlacement(mPlacement->mAddress, aResult);
    mPlacement.reset();
  }
}

bool
TicketSession::IsPastSettleDeadline() const
{
  return mContext.mClock.Now() >= mSettleDeadline;
}

}
