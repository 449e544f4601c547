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

#include <QNetworkAccessManager>
#include <QTimer>
#include <map>
#include <memory>

namespace beryllever::agent {

/**
 * Admission in front of one back end: what it bears, who may send how much, and
 * which non-idempotent requests may run. Lives on the control thread.
 */
class AgentCore : public IAgentCalls
{
public:
  AgentCore(const global::IClock& aClock,
            std::shared_ptr<configuration::IProcessSettings> aSettings,
            std::shared_ptr<configuration::IConfiguration> aConfiguration,
            metrics::Metrics& aMetrics,
            ExecutionContext aExecutionContext);

  void Start();
  /** Takes no new work from now on. */
  void BeginStop();
  bool IsIdle() const { return mExecutions == 0; }
  settings::Json Status() const;

  void TakeDemand(const std::shared_ptr<ControlStream>& aStream,
                  const v1::EntryDemand& aDemand) override;
  void TakeClosed(const std::shared_ptr<ControlStream>& aStream) override;
  v1::Ticket IssueTicket() override;
  bool CanIssueTicket() override;
  v1::TicketOutcome SettleTicket(const v1::Ticket& aTicket) override;
  void Execute(const v1::ExecuteRequest& aRequest,
               const std::shared_ptr<ExecuteStream>& aStream,
               std::chrono::system_clock::time_point aDeadline) override;

private:
  using OutcomeStreams = std::vector<std::shared_ptr<ExecuteStream>>;

  void TakeConfiguration();
  void TakeReport(const std::optional<credits::BackEndReport>& aReport);
  void UpdateCapacity();
  void SendStates();
  v1::AgentState StateFor(credits::Slots aSlots,
                          uint32_t aLeaseMilliseconds) const;
  bool TakesNewWork() const;

  void ExecuteTicketed(const v1::ExecuteRequest& aRequest,
                       const std::shared_ptr<ExecuteStream>& aStream,
                       std::chrono::system_clock::time_point aDeadline);
  bool Admit(const v1::ExecuteRequest& aRequest,
             const std::shared_ptr<ExecuteStream>& aStream);
  void Run(const v1::ExecuteRequest& aRequest,
           const std::shared_ptr<ExecuteStream>& aStream,
           std::chrono::system_clock::time_point aDeadline);
  ExecutionEvents EventsFor(const v1::ExecuteRequest& aRequest);
  void HandleEnd(const v1::ExecuteRequest& aRequest,
                 bool aHoldsSlot,
                 const ExecutionResult& aResult);
  void RecordTicket(const tickets::Ticket& aTicket,
                    const ExecutionResult& aResult);
  void AnswerWaiting(const tickets::Ticket& aTicket);
  void Release(const std::string& aEntry);
  static void AnswerOutcome(const tickets::Outcome& aOutcome,
                            const std::shared_ptr<ExecuteStream>& aStream);
  static void Refuse(const std::shared_ptr<ExecuteStream>& aStream,
                     global::ErrorKind aKind,
                     const std::string& aMessage);

  const global::IClock& mClock;
  std::shared_ptr<configuration::IProcessSettings> mSettings;
  std::shared_ptr<configuration::IConfiguration> mConfiguration;
  metrics::Metrics& mMetrics;
  ExecutionContext mExecutionContext;
  QNetworkAccessManager mManager;
  QObject mContext;

  const uint64_t mIncarnation;
  credits::EndpointCapacity mCapacity;
  credits::LeaseManager mLedger;
  tickets::TicketBook mTickets;
  std::unique_ptr<BackEndMonitor> mMonitor;
  std::vector<std::shared_ptr<ControlStream>> mStreams;
  /** Copies of a running ticketed request, waiting for its answer. */
  std::map<uint64_t, OutcomeStreams> mWaiting;
  bool mIsInPool = false;
  bool mIsStopping = false;
  int mExecutions = 0;
};

}
