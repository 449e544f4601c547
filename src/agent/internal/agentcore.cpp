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
  , mLeaseManager(aClock)
  , mTickets(aClock, mSettings->PeerAddress(), mIncarnation, kTicketBytes)
{
}

void
AgentCore::Start()
{
  mConfiguration->Subscribe([this] { ApplyConfiguration(); });
  ApplyConfiguration();
  mMonitor = std::make_unique<BackEndMonitor>(
    mClock, mSettings->BackEnd(), [this](const auto& aReport) {
      HandleReport(aReport);
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
           { "running", mLeaseManager.Running() },
           { "committed", mLeaseManager.Committed() },
           { "executions", mRunningExecutions },
           { "takesNewWork", AcceptsNewRequests() },
           { "entries", mStreams.size() },
           { "ticketBytes", mTickets.HeldBytes() } };
}

void
AgentCore::HandleDemand(const std::shared_ptr<ControlStream>& aStream,
                        const v1::EntryDemand& aDemand)
{
  if (aStream->mEntry.empty()) {
    aStream->mEntry = aDemand.vm();
    mStreams.push_back(aStream);
  }
  aStream->mRenewMilliseconds = aDemand.renew_ms();
  const auto lease = mLeaseManager.Renew(
    aStream->mEntry, { aDemand.in_use(), aDemand.wanted() });
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
    lease.mDeadline - mClock.Now());
  aStream->mLastSent =
    MakeState(lease.mSlots, static_cast<uint32_t>(remaining.count()));
  aStream->Send(aStream->mLastSent);
}

void
AgentCore::HandleClosed(const std::shared_ptr<ControlStream>& aStream)
{
  std::erase(mStreams, aStream);
  const bool hasOther =
    std::any_of(mStreams.begin(), mStreams.end(), [&](const auto& aStream) {
      return aStream->mEntry == aStream->mEntry;
    });
  if (!hasOther) {
    mLeaseManager.RevokeLease(aStream->mEntry);
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
  return AcceptsNewRequests();
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
  // A resumed response belongs to a request in flight, which is completed even
  // when the endpoint is out of service.
  const bool isInFlight = aRequest.resume_offset() > 0;
  if (!AcceptsNewRequests() && !isInFlight) {
    Refuse(aStream, ErrorKind::NotRun, "the endpoint accepts no new requests");
    return;
  }
  if (Admit(aRequest, aStream)) {
    Run(aRequest, aStream, aDeadline);
  }
}

void
AgentCore::ApplyConfiguration()
{
  mIsInPool = false;
  const auto tables = mConfiguration->CurrentTables();
  for (const auto& [name, pool] : tables->Pools()) {
    for (const configuration::Endpoint& endpoint : pool->mEndpoints) {
      if (endpoint.mAddress == mSettings->PeerAddress()) {
        mIsInPool = true;
        mCapacity.SetBounds({ pool->mColdConcurrency, pool->mWarmConcurrency });
      }
    }
  }
  UpdateCapacity();
}

void
AgentCore::HandleReport(const std::optional<credits::BackEndReport>& aReport)
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
    AcceptsNewRequests() ? mCapacity.ConcurrencyLimit() : 0;
  if (capacity == mLeaseManager.Capacity()) {
    return;
  }
  mLeaseManager.SetCapacity(capacity);
  mMetrics.Set("beryllever_endpoint_bears", capacity);
  SendStates();
}

void
AgentCore::SendStates()
{
  for (const auto& stream : mStreams) {
    // Until its renewal a lease keeps its slots, as far as the capacity allows;
    // Admit enforces the capacity in any case.
    v1::AgentState state =
      MakeState(std::min(stream->mLastSent.slots(), mLeaseManager.Capacity()),
                stream->mLastSent.lease_ms());
    const bool hasChanged =
      state.bears() != stream->mLastSent.bears() ||
      state.slots() != stream->mLastSent.slots() ||
      (state.unleased() > 0) != (stream->mLastSent.unleased() > 0);
    if (hasChanged) {
      stream->mLastSent = state;
      stream->Send(state);
    }
  }
}

v1::AgentState
AgentCore::MakeState(credits::Slots aSlots, uint32_t aLeaseMilliseconds) const
{
  v1::AgentState state;
  state.set_incarnation(mIncarnation);
  state.set_slots(aSlots);
  state.set_lease_ms(aLeaseMilliseconds);
  state.set_bears(mLeaseManager.Capacity());
  state.set_unleased(
    std::max(0, mLeaseManager.Capacity() - mLeaseManager.Committed()));
  return state;
}

bool
AgentCore::AcceptsNewRequests() const
{
  return !mIsStopping && mIsInPool && mConfiguration->IsKnown() &&
         !mConfiguration->IsSelfOutOfService();
}

void
AgentCore::ExecuteTicketed(const v1::ExecuteRequest& aRequest,
                           const std::shared_ptr<ExecuteStream>& aStream,
                           std::chrono::system_clock::time_point aDeadline)
{
  const tickets::Ticket ticket = transport::FromMessage(aRequest.ticket());
  const tickets::Outcome known = mTickets.GetOutcome(ticket);
  if (known.mState == TicketState::Running) {
    mWaitingStreams[ticket.mNumber].push_back(aStream);
    return;
  }
  if (known.mState != TicketState::Open) {
    SendOutcome(known, aStream);
    return;
  }
  if (!AcceptsNewRequests()) {
    SendOutcome(mTickets.Settle(ticket), aStream);
    return;
  }
  if (!Admit(aRequest, aStream)) {
    return;
  }
  if (!mTickets.Begin(ticket)) {
    Release(aRequest.entry());
    SendOutcome(mTickets.GetOutcome(ticket), aStream);
    return;
  }
  Run(aRequest, aStream, aDeadline);
}

bool
AgentCore::Admit(const v1::ExecuteRequest& aRequest,
                 const std::shared_ptr<ExecuteStream>& aStream)
{
  const Admission admission = mLeaseManager.Admit(aRequest.entry());
  if (admission == Admission::Admitted) {
    SendStates();
    return true;
  }
  mMetrics.Count(
    "beryllever_admissions_refused_total",
    { { "reason", admission == Admission::Full ? "full" : "leased" } });
  Refuse(aStream, ErrorKind::Overloaded, "the endpoint has no free slot");
  return false;
}

void
AgentCore::Run(const v1::ExecuteRequest& aRequest,
               const std::shared_ptr<ExecuteStream>& aStream,
               std::chrono::system_clock::time_point aDeadline)
{
  ++mRunningExecutions;
  const auto execution = std::make_shared<Execution>(
    mExecutionContext, aRequest, aStream, aDeadline, MakeCallbacks(aRequest));
  transport::Post(mExecutionContext.mThreadContext,
                  [execution] { execution->Start(); });
}

ExecutionCallbacks
AgentCore::MakeCallbacks(const v1::ExecuteRequest& aRequest)
{
  // Accessed on the control thread only.
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
                 *holdsSlot = mLeaseManager.Admit(entry) == Admission::Admitted;
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
  --mRunningExecutions;
  if (aHoldsSlot) {
    Release(aRequest.entry());
  }
  const std::string end = aResult.mIsComplete ? "complete" : "incomplete";
  mMetrics.Count("beryllever_executions_total",
                 { { "kind", aRequest.kind() }, { "end", end } });
  if (aResult.mTimeToFirstByte.count() > 0) {
    mMetrics.Sample(
      "beryllever_back_end_first_byte_seconds",
      std::chrono::duration<double>(aResult.mTimeToFirstByte).count());
  }
  const bool isServerError = aResult.mHttpStatus >= 500;
  if (aResult.mIsComplete && !isServerError) {
    mCapacity.HandleCompletion(aResult.mTimeToFirstByte);
  } else if (isServerError) {
    mCapacity.HandleFailure();
  } else if (aResult.mHasLostConnection) {
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
    mTickets.MarkUnknown(aTicket);
  }
  SendOutcomeToWaiting(aTicket);
}

void
AgentCore::SendOutcomeToWaiting(const tickets::Ticket& aTicket)
{
  const auto node = mWaitingStreams.extract(aTicket.mNumber);
  if (node.empty()) {
    return;
  }
  const tickets::Outcome outcome = mTickets.GetOutcome(aTicket);
  for (const auto& stream : node.mapped()) {
    SendOutcome(outcome, stream);
  }
}

void
AgentCore::Release(const std::string& aEntry)
{
  mLeaseManager.Release(aEntry);
  SendStates();
}

void
AgentCore::SendOutcome(const tickets::Outcome& aOutcome,
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
             "it is unknown whether the request has run");
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
