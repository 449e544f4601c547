#pragma once

#include "agent/internal/execution.h"
#include "beryllever.grpc.pb.h"
#include "transport/post.h"

#include <functional>
#include <memory>
#include <mutex>

namespace beryllever::agent {

/** Server side of an entry's control connection. Its callbacks run on the
 * control thread. */
class ControlStream
  : public grpc::ServerBidiReactor<v1::EntryDemand, v1::AgentState>
{
public:
  using OnDemand = std::function<void(const std::shared_ptr<ControlStream>&,
                                      const v1::EntryDemand&)>;
  using OnClosed = std::function<void(const std::shared_ptr<ControlStream>&)>;

  static std::shared_ptr<ControlStream> Make(QObject* aContext,
                                             OnDemand aOnDemand,
                                             OnClosed aOnClosed);

  /** Sends the latest state; replaces one that has not been sent yet. */
  void Send(const v1::AgentState& aState);

  void OnReadDone(bool aIsOk) override;
  void OnWriteDone(bool aIsOk) override;
  void OnCancel() override;
  void OnDone() override;

  /** VM of the connected entry; empty until its first demand. Accessed on the
   * control thread only. */
  std::string mEntry;
  uint32_t mRenewMilliseconds = 0;
  v1::AgentState mLastSent;

private:
  ControlStream(QObject* aContext, OnDemand aOnDemand, OnClosed aOnClosed);

  void StartNextLocked();
  void FinishLocked();

  QObject* mContext;
  OnDemand mOnDemand;
  OnClosed mOnClosed;
  std::mutex mMutex;
  v1::EntryDemand mDemand;
  v1::AgentState mSendingState;
  std::optional<v1::AgentState> mPendingState;
  bool mIsWriting = false;
  bool mIsFinished = false;
  std::shared_ptr<ControlStream> mSelf;
};

/** Handles the calls of entries on the control thread. */
class IAgentCallHandler
{
public:
  virtual ~IAgentCallHandler() = default;

  virtual void HandleDemand(const std::shared_ptr<ControlStream>& aStream,
                            const v1::EntryDemand& aDemand) = 0;
  virtual void HandleClosed(const std::shared_ptr<ControlStream>& aStream) = 0;
  virtual v1::Ticket IssueTicket() = 0;
  virtual bool CanIssueTicket() = 0;
  virtual v1::TicketOutcome SettleTicket(const v1::Ticket& aTicket) = 0;
  virtual void Execute(const v1::ExecuteRequest& aRequest,
                       const std::shared_ptr<ExecuteStream>& aStream,
                       std::chrono::system_clock::time_point aDeadline) = 0;
};

/** gRPC service for entries; forwards their calls to the control thread. */
class AgentService : public v1::Agent::CallbackService
{
public:
  /** Callbacks of response streams run on the traffic thread, all others on the
   * control thread. */
  AgentService(QObject* aControl,
               QObject* aTraffic,
               IAgentCallHandler& aHandler);

  grpc::ServerBidiReactor<v1::EntryDemand, v1::AgentState>* Control(
    grpc::CallbackServerContext* aContext) override;
  grpc::ServerUnaryReactor* IssueTicket(grpc::CallbackServerContext* aContext,
                                        const v1::IssueTicketRequest* aRequest,
                                        v1::Ticket* aReply) override;
  grpc::ServerUnaryReactor* SettleTicket(
    grpc::CallbackServerContext* aContext,
    const v1::SettleTicketRequest* aRequest,
    v1::TicketOutcome* aReply) override;
  grpc::ServerWriteReactor<v1::ExecuteUpdate>* Execute(
    grpc::CallbackServerContext* aContext,
    const v1::ExecuteRequest* aRequest) override;

private:
  QObject* mControl;
  QObject* mTraffic;
  IAgentCallHandler& mHandler;
};

}
