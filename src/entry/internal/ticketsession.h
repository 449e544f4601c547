#pragma once

#include "entry/internal/session.h"
#include "transport/clientstream.h"

#include <optional>

namespace beryllever::entry {

/** What is wanted of a ticket. */
enum class TicketPurpose
{
  /** Issue one and hand it to the caller. */
  Issue,
  /** Run the caller's request. */
  Run,
  /** Tell the outcome of an earlier request. */
  Settle,
};

/**
 * A non-idempotent request. It runs under a ticket of one incarnation of one
 * agent, which runs it at most once. If its end is not seen, the ticket is
 * settled, so that "not run" is said only of a request that can never run.
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
  void HandleGone() override;

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
  void HandleVoid(const std::string& aMessage);
  void Later(Step aStep);
  void ReplyWhole();
  void EndUnknown(const std::string& aMessage);
  void EndAttempt(PlacementEnd aEnd);
  bool IsSettleOver() const;

  const TicketPurpose mPurpose;
  const bool mIsCallersTicket;
  std::optional<v1::Ticket> mTicket;
  std::optional<Placement> mPlacement;
  std::shared_ptr<Call> mCall;
  std::set<std::string> mTried;
  uint64_t mAttempt = 0;
  int mStatus = 0;
  std::string mAnswer;
  std::string mContentType = "application/json";
  bool mIsOver = false;
  global::TimePoint mSettleDeadline = global::TimePoint::max();
};

}
