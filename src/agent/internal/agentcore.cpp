#include "agent/internal/agentcore.h"

#include "framework/global/identifiers.h"
#include "framework/log/log.h"
#include "transport/conversions.h"

#include <algorithm>

namespace beryllever::agent {

using credits::Admission;
using global::ErrorKind;
using tickets::TicketState;

namespace {

constexpr char kLogTag[] = "agent";
constexpr size_t kTicketBytes = 16 * 1024 * 1024;

}

AgentCore::AgentCore(
  const global::IClock& aClock,
  std::shared_ptr<configuration::IProcessSettings> aSettings,
  std::shared_ptr<configuration::IConfiguration> aConfiguration,
  metrics::Metrics& aMetrics,
  ExecutionContext aExecutionContext)
  : mClock(aClock)
  , mSettings(std::move(aSettings))
  , mConfiguration(std::move(aConfiguration))
  , mMetrics(aMetrics)
  , mExecutionContext(std::move(aExecutionContext))
  , mIncarnation(global::NewIncarnation())
  , mCapacity(aClock, {})
  , mLedger(aClock)
  , mTickets(aClock, mSettings->PeerAddress(), mIncarnation, kTicketBytes)
{
}

void
AgentCore::Start()
{
  mConfiguration->Subscribe([this] { TakeConfiguration(); });
  TakeConfiguration();
  mMonitor = std::make_unique<BackEndMonitor>(
    mClock, mManager, mSettings->BackEnd(), [this](const auto& aReport) {
      TakeReport(aReport);
    });
}

void
AgentCore::BeginStop()
{
  mIsStopping = true;
  UpdateCapacity();
}

settings::Json
AgentCore::Status() const
{
  return { { "incarnation", mIncarnation },
           { "bears", mCapacity.ConcurrencyLimit() },
           { "isCold", mCapacity.IsCold() },
           { "running", mLedger.Running() },
           { "committed", mLedger.Committed() },
           { "executions", mExecutions },
           { "takesNewWork", TakesNewWork() },
           { "entries", mStreams.size() },
           { "ticketBytes", mTickets.HeldBytes() } };
}

void
AgentCore::TakeDemand(const std::shared_ptr<ControlStream>& aStream,
                      const v1::EntryDemand& aDemand)
{
  if (aStream->mEntry.empty()) {
    aStream->mEntry = aDemand.vm();
    mStreams.push_back(aStream);
  }
  aStream->mRenewMilliseconds = aDemand.renew_ms();
  const auto lease =
    mLedger.Renew(aStream->mEntry, { aDemand.in_use(), aDemand.wanted() });
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
    lease.mDeadline - mClock.Now());
  aStream->mLastSent =
    StateFor(lease.mSlots, static_cast<uint32_t>(left.count()));
  aStream->Send(aStream->mLastSent);
}

void
AgentCore::TakeClosed(const std::shared_ptr<ControlStream>& aStream)
{
  std::erase(mStreams, aStream);
  const bool hasOther =
    std::any_of(mStreams.begin(), mStreams.end(), [&](const auto& aStream) {
      return aStream->mEntry == aStream->mEntry;
    });
  if (!hasOther) {
    mLedger.RevokeLease(aStream->mEntry);
    SendStates();
  }
}

v1::Ticket
AgentCore::IssueTicket()
{
  return transport::ToMessage(mTickets.Issue());
}

bool
AgentCore::CanIssueTicket()
{
  return TakesNewWork();
}

v1::TicketOutcome
AgentCore::SettleTicket(const v1::Ticket& aTicket)
{
  return transport::ToMessage(mTickets.Settle(transport::FromMessage(aTicket)));
}

void
AgentCore::Execute(const v1::ExecuteRequest& aRequest,
                   const std::shared_ptr<ExecuteStream>& aStream,
                   std::chrono::system_clock::time_point aDeadline)
{
  if (aRequest.has_ticket()) {
    ExecuteTicketed(aRequest, aStream, aDeadline);
    return;
  }
  // A resumed answer is a request in flight, which runs to its end even out of
  // service.
  const bool isInFlight = aRequest.resume_offset() > 0;
  if (!TakesNewWork() && !isInFlight) {
    Refuse(aStream, ErrorKind::NotRun, "the endpoint takes no new work");
    return;
  }
  if (Admit(aRequest, aStream)) {
    Run(aRequest, aStream, aDeadline);
  }
}

void
AgentCore::TakeConfiguration()
{
  mIsInPool = false;
  const auto tables = mConfiguration->CurrentTables();
  for (const auto& [name, pool] : tables->Pools()) {
    for (const configuration::Endpoint& endpoint : pool->mEndpoints) {
      if (endpoint.mAddress == mSettings->PeerAddress()) {
        mIsInPool = true;
        mCapacity.SetBounds({ pool->mColdBears, pool->mBears });
      }
    }
  }
  UpdateCapacity();
}

void
AgentCore::TakeReport(const std::optional<credits::BackEndReport>& aReport)
{
  const bool wasCold = mCapacity.IsCold();
  const credits::Slots before = mCapacity.ConcurrencyLimit();
  if (aReport) {
    mCapacity.HandleReport(*aReport);
  } else {
    mCapacity.HandleReportTimeout();
  }
  if (before > 0 && mCapacity.ConcurrencyLimit() == 0) {
    LOGW("The back end is silent or not ready; it gets no requests.");
  } else if (!wasCold && mCapacity.IsCold()) {
    LOGW("The back end has turned cold; it gets few requests. bears="
         << mCapacity.ConcurrencyLimit());
  }
  UpdateCapacity();
}

void
AgentCore::UpdateCapacity()
{
  const credits::Slots capacity =
    TakesNewWork() ? mCapacity.ConcurrencyLimit() : 0;
  if (capacity == mLedger.Capacity()) {
    return;
  }
  mLedger.SetCapacity(capacity);
  mMetrics.Set("beryllever_endpoint_bears", capacity);
  SendStates();
}

void
AgentCore::SendStates()
{
  for (const auto& stream : mStreams) {
    // A lease that was given stays as it is until its renewal; the gate here
    // holds in any case.
    v1::AgentState state =
      StateFor(std::min(stream->mLastSent.slots(), mLedger.Capacity()),
               stream->mLastSent.lease_ms());
    const bool isNews =
      state.bears() != stream->mLastSent.bears() ||
      state.slots() != stream->mLastSent.slots() ||
      (state.unleased() > 0) != (stream->mLastSent.unleased() > 0);
    if (isNews) {
      stream->mLastSent = state;
      stream->Send(state);
    }
  }
}

v1::AgentState
AgentCore::StateFor(credits::Slots aSlots, uint32_t aLeaseMilliseconds) const
{
  v1::AgentState state;
  state.set_incarnation(mIncarnation);
  state.set_slots(aSlots);
  state.set_lease_ms(aLeaseMilliseconds);
  state.set_bears(mLedger.Capacity());
  state.set_unleased(std::max(0, mLedger.Capacity() - mLedger.Committed()));
  return state;
}

bool
AgentCore::TakesNewWork() const
{
  return !mIsStopping && mIsInPool && mConfiguration->IsKnown() &&
         !mConfiguration->IsSelfOut();
}

void
AgentCore::ExecuteTicketed(const v1::ExecuteRequest& aRequest,
                           const std::shared_ptr<ExecuteStream>& aStream,
                           std::chrono::system_clock::time_point aDeadline)
{
  const tickets::Ticket ticket = transport::FromMessage(aRequest.ticket());
  const tickets::Outcome known = mTickets.Look(ticket);
  if (known.mState == TicketState::Running) {
    mWaiting[ticket.mNumber].push_back(aStream);
    return;
  }
  if (known.mState != TicketState::Open) {
    AnswerOutcome(known, aStream);
    return;
  }
  if (!TakesNewWork()) {
    AnswerOutcome(mTickets.Settle(ticket), aStream);
    return;
  }
  if (!Admit(aRequest, aStream)) {
    return;
  }
  if (!mTickets.Begin(ticket)) {
    Release(aRequest.entry());
    AnswerOutcome(mTickets.Look(ticket), aStream);
    return;
  }
  Run(aRequest, aStream, aDeadline);
}

bool
AgentCore::Admit(const v1::ExecuteRequest& aRequest,
                 const std::shared_ptr<ExecuteStream>& aStream)
{
  const Admission admission = mLedger.Admit(aRequest.entry());
  if (admission == Admission::Admitted) {
    SendStates();
    return true;
  }
  mMetrics.Count(
    "beryllever_admissions_refused_total",
    { { "reason", admission == Admission::Full ? "full" : "leased" } });
  Refuse(aStream,
         ErrorKind::Overloaded,
         "the endpoint bears no further request now");
  return false;
}

void
AgentCore::Run(const v1::ExecuteRequest& aRequest,
               const std::shared_ptr<ExecuteStream>& aStream,
               std::chrono::system_clock::time_point aDeadline)
{
  ++mExecutions;
  const auto execution = std::make_shared<Execution>(
    mExecutionContext, aRequest, aStream, aDeadline, EventsFor(aRequest));
  transport::Post(mExecutionContext.mThreadContext,
                  [execution] { execution->Start(); });
}

ExecutionEvents
AgentCore::EventsFor(const v1::ExecuteRequest& aRequest)
{
  // Read and written on the control thread only.
  const auto holdsSlot = std::make_shared<bool>(true);
  return { .mOnEnd =
             [this, aRequest, holdsSlot](const ExecutionResult& aResult) {
               transport::Post(&mContext, [=, this] {
                 HandleEnd(aRequest, *holdsSlot, aResult);
               });
             },
           .mOnPause =
             [this, entry = aRequest.entry(), holdsSlot] {
               transport::Post(&mContext, [=, this] {
                 *holdsSlot = false;
                 mMetrics.Count("beryllever_streams_paused_total");
                 Release(entry);
               });
             },
           .mOnResume =
             [this, entry = aRequest.entry(), holdsSlot](
               std::function<void(bool)> aOnDecision) {
               transport::Post(&mContext, [=, this] {
                 *holdsSlot = mLedger.Admit(entry) == Admission::Admitted;
                 transport::Post(mExecutionContext.mThreadContext,
                                 [aOnDecision, isAdmitted = *holdsSlot] {
                                   aOnDecision(isAdmitted);
                                 });
               });
             } };
}

void
AgentCore::HandleEnd(const v1::ExecuteRequest& aRequest,
                     bool aHoldsSlot,
                     const ExecutionResult& aResult)
{
  --mExecutions;
  if (aHoldsSlot) {
    Release(aRequest.entry());
  }
  const std::string verdict = aResult.mIsComplete ? "complete" : "incomplete";
  mMetrics.Count("beryllever_executions_total",
                 { { "kind", aRequest.kind() }, { "end", verdict } });
  if (aResult.mFirstByte.count() > 0) {
    mMetrics.Sample("beryllever_back_end_first_byte_seconds",
                    std::chrono::duration<double>(aResult.mFirstByte).count());
  }
  const bool isServerError = aResult.mHttpStatus >= 500;
  if (aResult.mIsComplete && !isServerError) {
    mCapacity.HandleCompletion(aResult.mFirstByte);
  } else if (isServerError) {
    mCapacity.HandleFailure();
  } else if (aResult.mIsBroken) {
    mCapacity.HandleConnectionLoss();
  }
  if (aRequest.has_ticket()) {
    RecordTicket(transport::FromMessage(aRequest.ticket()), aResult);
  }
  UpdateCapacity();
}

void
AgentCore::RecordTicket(const tickets::Ticket& aTicket,
                        const ExecutionResult& aResult)
{
  if (aResult.mIsComplete) {
    mTickets.Complete(aTicket, aResult.mHttpStatus, aResult.mBody);
  } else if (!aResult.mIsSent) {
    mTickets.Cancel(aTicket);
  } else {
    LOGW("The outcome of a non-idempotent request is unknown. ticket="
         << aTicket.mNumber << " reason=" << aResult.mReason);
    mTickets.Lose(aTicket);
  }
  AnswerWaiting(aTicket);
}

void
AgentCore::AnswerWaiting(const tickets::Ticket& aTicket)
{
  const auto node = mWaiting.extract(aTicket.mNumber);
  if (node.empty()) {
    return;
  }
  const tickets::Outcome outcome = mTickets.Look(aTicket);
  for (const auto& stream : node.mapped()) {
    AnswerOutcome(outcome, stream);
  }
}

void
AgentCore::Release(const std::string& aEntry)
{
  mLedger.Release(aEntry);
  SendStates();
}

void
AgentCore::AnswerOutcome(const tickets::Outcome& aOutcome,
                         const std::shared_ptr<ExecuteStream>& aStream)
{
  switch (aOutcome.mState) {
    case TicketState::Done: {
      v1::ExecuteUpdate head;
      head.mutable_head()->set_http_status(aOutcome.mHttpStatus);
      head.mutable_head()->set_content_type("application/json");
      aStream->Push(std::move(head));
      v1::ExecuteUpdate chunk;
      chunk.mutable_chunk()->set_data(aOutcome.mBody);
      aStream->Push(std::move(chunk));
      v1::ExecuteUpdate end;
      end.mutable_end()->set_length(aOutcome.mBody.size());
      aStream->Push(std::move(end));
      aStream->Close();
      return;
    }
    case TicketState::Void:
      Refuse(aStream,
             ErrorKind::NotRun,
             "the ticket is void; the request has not run and never will");
      return;
    case TicketState::Foreign:
      Refuse(
        aStream, ErrorKind::UnknownTicket, "the ticket was not issued here");
      return;
    default:
      Refuse(aStream,
             ErrorKind::OutcomeUnknown,
             "it is not known whether the request has run");
  }
}

void
AgentCore::Refuse(const std::shared_ptr<ExecuteStream>& aStream,
                  ErrorKind aKind,
                  const std::string& aMessage)
{
  v1::ExecuteUpdate update;
  update.mutable_failure()->set_kind(
    std::string(global::AnswerFor(aKind).mName));
  update.mutable_failure()->set_message(aMessage);
  aStream->Push(std::move(update));
  aStream->Close();
}

}
