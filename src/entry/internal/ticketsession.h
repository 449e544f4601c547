#pragma once

#include "entry/internal/session.h"
#include "transport/clientstream.h"

#include <optional>

namespace beryllever::entry {

/** Purpose of a ticket session. */
enum class TicketPurpose
{
  /** Issues a ticket to the caller. */
  Issue,
  /** Runs the caller's request. */
  Run,
  /** Returns the outcome of an earlier request. */
  Settle,
};

/**
 * A non-idempotent request. It runs with a ticket that is valid at one
 * incarnation of one agent, which runs it at most once. If the response is
 * lost, the ticket is settled, so that "not run" is reported only for a request
 * that can never run.
 */
class TicketSession : public Session
{
public:
  TicketSession(SessionContext& aContext,
                net::HttpExchange* aExchange,
                CallerRequest aRequest,
                TicketPurpose aPurpose,
                std::optional<v1::Ticket> aTicket);

protected:
  void Begin() override;
  void HandleDisconnect() override;

private:
  using Call = transport::ClientStream<v1::ExecuteRequest, v1::ExecuteUpdate>;
  using Step = void (TicketSession::*)();

  void Acquire(bool aIsRetry);
  void HandleDecision(const Decision& aDecision);
  void Issue();
  void HandleIssued(const grpc::Status& aStatus, const v1::Ticket& aTicket);
  void Execute();
  void HandleUpdate(uint64_t aAttempt, const v1::ExecuteUpdate& aUpdate);
  void HandleFailure(const global::Error& aError);
  void HandleCallEnd(uint64_t aAttempt);
  void Settle();
  void HandleSettled(const grpc::Status& aStatus,
                     const v1::TicketOutcome& aOutcome);
  void HandleVoidTicket(const std::string& aMessage);
  void RetryLater(Step aStep);
  void SendResponse();
  void FailWithUnknownOutcome(const std::string& aMessage);
  void EndAttempt(PlacementResult aResult);
  bool IsPastSettleDeadline() const;

  const TicketPurpose mPurpose;
  const bool mIsCallersTicket;
  std::optional<v1::Ticket> mTicket;
  std::optional<Placement> mPlacement;
  std::shared_ptr<Call> mCall;
  std::set<std::string> mTriedEndpoints;
  uint64_t mAttempt = 0;
  int mStatus = 0;
  std::string mResponseBody;
  std::string mContentType = "application/json";
  bool mIsFinished = false;
  global::TimePoint mSettleDeadline = global::TimePoint::max();
};

}
