#include "entry/internal/ticketsession.h"

#include "transport/tokens.h"
#include "transport/unary.h"

#include <QTimer>
#include <nlohmann/json.hpp>

namespace beryllever::entry {

using global::Error;
using global::ErrorKind;

namespace {

constexpr std::chrono::milliseconds kUnaryTime{ 1000 };
constexpr std::chrono::milliseconds kRetryDelay{ 50 };
/** Time for finding out what became of a request whose end was not seen. */
constexpr std::chrono::milliseconds kSettleTime{ 3000 };

std::chrono::system_clock::time_point
UnaryDeadline()
{
  return std::chrono::system_clock::now() + kUnaryTime;
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
TicketSession::HandleGone()
{
  // The request goes on: its outcome belongs to the ticket, for which the
  // caller can ask.
  Finish("caller_gone");
}

void
TicketSession::Acquire(bool aIsRetry)
{
  PlacementRequest request = MakePlacementRequest();
  request.mTried = mTried;
  request.mIsRetry = aIsRetry;
  request.mFixedEndpoint = mTicket ? mTicket->endpoint() : "";
  const auto self = Self<TicketSession>();
  mContext.mRouter.Acquire(
    std::move(request), mContext.mTraffic, [self](const Decision& aDecision) {
      self->HandleDecision(aDecision);
    });
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
    mContext.mTraffic,
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
  // A ticket that was issued but not received is never begun.
  if (!aStatus.ok()) {
    mTried.insert(mPlacement->mAddress);
    EndAttempt(PlacementEnd::Failed);
    if (IsPastDeadline()) {
      Fail({ ErrorKind::NotRun, "no endpoint issued a ticket" });
    } else {
      Acquire(true);
    }
    return;
  }
  mTicket = aTicket;
  if (mPurpose == TicketPurpose::Issue) {
    EndAttempt(PlacementEnd::Served);
    const nlohmann::json body{ { "ticket",
                                 transport::EncodeTicket(*mTicket) } };
    if (mExchange) {
      AnswerJson(mExchange, 201, body.dump());
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
  const auto left =
    std::chrono::duration_cast<std::chrono::system_clock::duration>(
      mRequest.mDeadline - mContext.mClock.Now());
  const uint64_t attempt = ++mAttempt;
  mAnswer.clear();
  const auto self = Self<TicketSession>();
  const auto stub = mPlacement->mStub;
  mCall = Call::Start(
    mContext.mTraffic,
    std::move(request),
    std::chrono::system_clock::now() + left,
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
  if (mIsOver || aAttempt != mAttempt) {
    return;
  }
  if (aUpdate.has_failure()) {
    HandleFailure({ global::KindNamed(aUpdate.failure().kind()),
                    aUpdate.failure().message() });
  } else if (aUpdate.has_end()) {
    ReplyWhole();
  } else {
    if (aUpdate.has_head()) {
      mStatus = aUpdate.head().http_status();
      mContentType = aUpdate.head().content_type();
    }
    mAnswer += aUpdate.chunk().data();
    mCall->Read();
  }
}

void
TicketSession::HandleFailure(const Error& aError)
{
  if (aError.mKind == ErrorKind::Overloaded && !IsPastDeadline()) {
    // The ticket is still open, and only this endpoint can run it.
    if (mIsCallersTicket) {
      EndAttempt(PlacementEnd::Refused);
      Later(&TicketSession::Begin);
    } else {
      Settle();
    }
    return;
  }
  if (aError.mKind == ErrorKind::NotRun) {
    HandleVoid(aError.mMessage);
  } else if (aError.mKind == ErrorKind::UnknownTicket) {
    EndAttempt(PlacementEnd::Refused);
    Fail(aError);
  } else {
    Settle();
  }
}

void
TicketSession::HandleCallEnd(uint64_t aAttempt)
{
  if (!mIsOver && aAttempt == mAttempt) {
    Settle();
  }
}

void
TicketSession::Settle()
{
  ++mAttempt;
  if (mSettleDeadline == global::TimePoint::max()) {
    mSettleDeadline = mContext.mClock.Now() + kSettleTime;
  }
  v1::SettleTicketRequest request;
  *request.mutable_ticket() = *mTicket;
  const auto self = Self<TicketSession>();
  const auto stub = mPlacement->mStub;
  transport::CallUnary<v1::SettleTicketRequest, v1::TicketOutcome>(
    mContext.mTraffic,
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
  if ((!aStatus.ok() || isRunning) && !IsSettleOver()) {
    Later(&TicketSession::Settle);
    return;
  }
  if (!aStatus.ok()) {
    EndUnknown("the endpoint cannot be asked");
    return;
  }
  switch (aOutcome.state()) {
    case v1::TICKET_STATE_DONE:
      mStatus = aOutcome.http_status();
      mAnswer = aOutcome.body();
      ReplyWhole();
      return;
    case v1::TICKET_STATE_VOID:
      HandleVoid("the request has not run and never will");
      return;
    case v1::TICKET_STATE_FOREIGN:
      EndAttempt(PlacementEnd::Served);
      Fail({ ErrorKind::UnknownTicket,
             "the ticket was not issued by its endpoint" });
      return;
    default:
      EndUnknown(isRunning ? "the request is still running"
                           : "the endpoint does not know whether it has run");
  }
}

void
TicketSession::HandleVoid(const std::string& aMessage)
{
  EndAttempt(PlacementEnd::Refused);
  const bool mayTryElsewhere =
    mPurpose == TicketPurpose::Run && !mIsCallersTicket && !IsPastDeadline();
  if (!mayTryElsewhere) {
    mIsOver = true;
    Fail({ ErrorKind::NotRun, aMessage });
    return;
  }
  mTried.insert(mTicket->endpoint());
  mTicket.reset();
  mSettleDeadline = global::TimePoint::max();
  Acquire(true);
}

void
TicketSession::Later(Step aStep)
{
  const auto self = Self<TicketSession>();
  QTimer::singleShot(
    kRetryDelay, mContext.mTraffic, [self, aStep] { (self.get()->*aStep)(); });
}

void
TicketSession::ReplyWhole()
{
  mIsOver = true;
  EndAttempt(PlacementEnd::Served);
  if (mExchange) {
    mExchange->Reply(
      mStatus,
      { { "Content-Type", QByteArray::fromStdString(mContentType) },
        { "X-Ticket",
          QByteArray::fromStdString(transport::EncodeTicket(*mTicket)) } },
      QByteArray::fromStdString(mAnswer));
    Finish("answered");
  }
}

void
TicketSession::EndUnknown(const std::string& aMessage)
{
  mIsOver = true;
  EndAttempt(PlacementEnd::Failed);
  Fail({ ErrorKind::OutcomeUnknown, aMessage },
       { .mTicket = transport::EncodeTicket(*mTicket) });
}

void
TicketSession::EndAttempt(PlacementEnd aEnd)
{
  ++mAttempt;
  if (mCall) {
    mCall->Cancel();
    mCall.reset();
  }
  if (mPlacement) {
    mContext.mRouter.Return(mPlacement->mAddress, aEnd);
    mPlacement.reset();
  }
}

bool
TicketSession::IsSettleOver() const
{
  return mContext.mClock.Now() >= mSettleDeadline;
}

}
