#include "agent/internal/agentservice.h"

namespace beryllever::agent {

std::shared_ptr<ControlStream>
ControlStream::Make(QObject* aContext, OnDemand aOnDemand, OnClosed aOnClosed)
{
  std::shared_ptr<ControlStream> stream(
    new ControlStream(aContext, std::move(aOnDemand), std::move(aOnClosed)));
  stream->mSelf = stream;
  stream->StartRead(&stream->mDemand);
  return stream;
}

ControlStream::ControlStream(QObject* aContext,
                             OnDemand aOnDemand,
                             OnClosed aOnClosed)
  : mContext(aContext)
  , mOnDemand(std::move(aOnDemand))
  , mOnClosed(std::move(aOnClosed))
{
}

void
ControlStream::Send(const v1::AgentState& aState)
{
  const std::lock_guard lock(mMutex);
  mPendingState = aState;
  StartNextLocked();
}

void
ControlStream::OnReadDone(bool aIsOk)
{
  const std::lock_guard lock(mMutex);
  if (!aIsOk) {
    FinishLocked();
    return;
  }
  transport::Post(mContext, [self = mSelf, demand = mDemand] {
    self->mOnDemand(self, demand);
  });
  StartRead(&mDemand);
}

void
ControlStream::OnWriteDone(bool aIsOk)
{
  const std::lock_guard lock(mMutex);
  mIsWriting = false;
  if (aIsOk) {
    StartNextLocked();
  }
}

void
ControlStream::OnCancel()
{
  const std::lock_guard lock(mMutex);
  FinishLocked();
}

void
ControlStream::OnDone()
{
  auto self = std::move(mSelf);
  transport::Post(mContext, [self] { self->mOnClosed(self); });
}

void
ControlStream::StartNextLocked()
{
  if (!mIsWriting && mPendingState && !mIsFinished) {
    mIsWriting = true;
    mSendingState = std::move(*mPendingState);
    mPendingState.reset();
    StartWrite(&mSendingState);
  }
}

void
ControlStream::FinishLocked()
{
  if (!mIsFinished) {
    mIsFinished = true;
    Finish(grpc::Status::OK);
  }
}

AgentService::AgentService(QObject* aControl,
                           QObject* aTraffic,
                           IAgentCallHandler& aHandler)
  : mControl(aControl)
  , mTraffic(aTraffic)
  , mHandler(aHandler)
{
}

grpc::ServerBidiReactor<v1::EntryDemand, v1::AgentState>*
AgentService::Control(grpc::CallbackServerContext*)
{
  return ControlStream::Make(
           mControl,
           [this](const std::shared_ptr<ControlStream>& aStream,
                  const v1::EntryDemand& aDemand) {
             mHandler.HandleDemand(aStream, aDemand);
           },
           [this](const std::shared_ptr<ControlStream>& aStream) {
             mHandler.HandleClosed(aStream);
           })
    .get();
}

grpc::ServerUnaryReactor*
AgentService::IssueTicket(grpc::CallbackServerContext* aContext,
                          const v1::IssueTicketRequest*,
                          v1::Ticket* aReply)
{
  grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
  transport::Post(mControl, [this, reactor, aReply] {
    if (!mHandler.CanIssueTicket()) {
      reactor->Finish({ grpc::StatusCode::FAILED_PRECONDITION,
                        "the endpoint accepts no new requests" });
      return;
    }
    *aReply = mHandler.IssueTicket();
    reactor->Finish(grpc::Status::OK);
  });
  return reactor;
}

grpc::ServerUnaryReactor*
AgentService::SettleTicket(grpc::CallbackServerContext* aContext,
                           const v1::SettleTicketRequest* aRequest,
                           v1::TicketOutcome* aReply)
{
  grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
  transport::Post(mControl,
                  [this, reactor, aReply, ticket = aRequest->ticket()] {
                    *aReply = mHandler.SettleTicket(ticket);
                    reactor->Finish(grpc::Status::OK);
                  });
  return reactor;
}

grpc::ServerWriteReactor<v1::ExecuteUpdate>*
AgentService::Execute(grpc::CallbackServerContext* aContext,
                      const v1::ExecuteRequest* aRequest)
{
  const auto stream = ExecuteStream::Make(mTraffic);
  transport::Post(
    mControl,
    [this, stream, request = *aRequest, deadline = aContext->deadline()] {
      mHandler.Execute(request, stream, deadline);
    });
  return stream.get();
}

}
