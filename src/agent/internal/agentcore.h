#pragma once

#include "agent/internal/agentservice.h"
#include "agent/internal/backendmonitor.h"
#include "agent/internal/execution.h"
#include "configuration/iconfiguration.h"
#include "credits/endpointcapacity.h"
#include "credits/leasemanager.h"
#include "framework/metrics/metrics.h"
#include "framework/settings/jsondocument.h"
#include "tickets/ticketbook.h"

#include <QObject>
#include <QTimer>
#include <map>
#include <memory>

namespace beryllever::agent {

/**
 * Admission control for one back end: its concurrency limit, the leases of the
 * entries, and the tickets of non-idempotent requests. Runs on the control
 * thread.
 */
class AgentCore : public IAgentCallHandler
{
public:
  AgentCore(const global::IClock& aClock,
            std::shared_ptr<configuration::IProcessSettings> aSettings,
            std::shared_ptr<configuration::IConfiguration> aConfiguration,
            metrics::Metrics& aMetrics,
            ExecutionContext aExecutionContext);

  void Start();
  /** Accepts no new requests from now on. */
  void BeginStop();
  bool IsIdle() const { return mRunningExecutions == 0; }
  settings::Json Status() const;

  void HandleDemand(const std::shared_ptr<ControlStream>& aStream,
                    const v1::EntryDemand& aDemand) override;
  void HandleClosed(const std::shared_ptr<ControlStream>& aStream) override;
  v1::Ticket IssueTicket() override;
  bool CanIssueTicket() override;
  v1::TicketOutcome SettleTicket(const v1::Ticket& aTicket) override;
  void Execute(const v1::ExecuteRequest& aRequest,
               const std::shared_ptr<ExecuteStream>& aStream,
               std::chrono::system_clock::time_point aDeadline) override;

private:
  using OutcomeStreams = std::vector<std::shared_ptr<ExecuteStream>>;

  void ApplyConfiguration();
  void HandleReport(const std::optional<credits::BackEndReport>& aReport);
  void UpdateCapacity();
  void SendStates();
  v1::AgentState MakeState(credits::Slots aSlots,
                           uint32_t aLeaseMilliseconds) const;
  bool AcceptsNewRequests() const;

  void ExecuteTicketed(const v1::ExecuteRequest& aRequest,
                       const std::shared_ptr<ExecuteStream>& aStream,
                       std::chrono::system_clock::time_point aDeadline);
  bool Admit(const v1::ExecuteRequest& aRequest,
             const std::shared_ptr<ExecuteStream>& aStream);
  void Run(const v1::ExecuteRequest& aRequest,
           const std::shared_ptr<ExecuteStream>& aStream,
           std::chrono::system_clock::time_point aDeadline);
  ExecutionCallbacks MakeCallbacks(const v1::ExecuteRequest& aRequest);
  void HandleEnd(const v1::ExecuteRequest& aRequest,
                 bool aHoldsSlot,
                 const ExecutionResult& aResult);
  void RecordTicket(const tickets::Ticket& aTicket,
                    const ExecutionResult& aResult);
  void SendOutcomeToWaiting(const tickets::Ticket& aTicket);
  void Release(const std::string& aEntry);
  static void SendOutcome(const tickets::Outcome& aOutcome,
                          const std::shared_ptr<ExecuteStream>& aStream);
  static void Refuse(const std::shared_ptr<ExecuteStream>& aStream,
                     global::ErrorKind aKind,
                     const std::string& aMessage);

  const global::IClock& mClock;
  std::shared_ptr<configuration::IProcessSettings> mSettings;
  std::shared_ptr<configuration::IConfiguration> mConfiguration;
  metrics::Metrics& mMetrics;
  ExecutionContext mExecutionContext;
  QObject mContext;

  const uint64_t mIncarnation;
  credits::EndpointCapacity mCapacity;
  credits::LeaseManager mLeaseManager;
  tickets::TicketBook mTickets;
  std::unique_ptr<BackEndMonitor> mMonitor;
  std::vector<std::shared_ptr<ControlStream>> mStreams;
  /** Duplicates of a running ticketed request that wait for its response, by
   * ticket number. */
  std::map<uint64_t, OutcomeStreams> mWaitingStreams;
  bool mIsInPool = false;
  bool mIsStopping = false;
  int mRunningExecutions = 0;
};

}
