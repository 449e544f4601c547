#include "entry/internal/agentlink.h"

#include "transport/channel.h"

#include <QCoreApplication>

namespace beryllever::entry {

namespace {

constexpr int kRenewalsUntilReconnect = 3;
constexpr std::chrono::milliseconds kReconnectDelay{ 250 };

}

AgentLink::AgentLink(const global::IClock& aClock,
                     std::string aEntry,
                     std::string aAddress,
                     std::chrono::milliseconds aRenewInterval,
                     OnState aOnState,
                     OnLost aOnLost)
  : mClock(aClock)
  , mEntry(std::move(aEntry))
  , mAddress(std::move(aAddress))
  , mRenewInterval(aRenewInterval)
  , mOnState(std::move(aOnState))
  , mOnLost(std::move(aOnLost))
{
  Open();
}

AgentLink::~AgentLink()
{
  Close();
}

void
AgentLink::SetDemand(const credits::Demand& aDemand)
{
  const bool isSame =
    aDemand.mInUse == mDemand.mInUse && aDemand.mWanted == mDemand.mWanted;
  mDemand = aDemand;
  if (!isSame) {
    SendDemand();
  }
}

void
AgentLink::Tick()
{
  const global::TimePoint now = mClock.Now();
  if (now >= mReconnectDeadline) {
    Close();
    Open();
  } else if (now >= mRenewDeadline) {
    SendDemand();
  }
}

void
AgentLink::Open()
{
  const uint64_t attempt = ++mAttempt;
  mStub = v1::Agent::NewStub(transport::MakeChannel(mAddress));
  mReconnectDeadline = mClock.Now() + kRenewalsUntilReconnect * mRenewInterval;
  const std::weak_ptr<bool> alive = mAlive;
  mCall = Call::Start(
    QCoreApplication::instance(),
    [this](grpc::ClientContext* aContext, auto* aReactor) {
      mStub->async()->Control(aContext, aReactor);
    },
    [this, alive, attempt](const v1::AgentState& aState) {
      if (!alive.expired()) {
        HandleState(attempt, aState);
      }
    },
    [this, alive, attempt] {
      if (!alive.expired()) {
        HandleEnd(attempt);
      }
    });
  SendDemand();
}

void
AgentLink::Close()
{
  ++mAttempt;
  if (mCall) {
    mCall->Cancel();
    mCall.reset();
  }
  if (mHasState) {
    mHasState = false;
    mOnLost();
  }
}

void
AgentLink::SendDemand()
{
  if (!mCall) {
    return;
  }
  v1::EntryDemand demand;
  demand.set_vm(mEntry);
  demand.set_in_use(mDemand.mInUse);
  demand.set_wanted(mDemand.mWanted);
  demand.set_renew_ms(static_cast<uint32_t>(mRenewInterval.count()));
  mLastSentAt = mClock.Now();
  mRenewDeadline = mLastSentAt + mRenewInterval;
  mCall->Send(std::move(demand));
}

void
AgentLink::HandleState(uint64_t aAttempt, const v1::AgentState& aState)
{
  if (aAttempt != mAttempt) {
    return;
  }
  mHasState = true;
  mReconnectDeadline = mClock.Now() + kRenewalsUntilReconnect * mRenewInterval;
  // The lease time counts from the sending of the demand, so that the lease
  // expires here before it expires at the agent.
  mOnState(aState, mLastSentAt + std::chrono::milliseconds(aState.lease_ms()));
}

void
AgentLink::HandleEnd(uint64_t aAttempt)
{
  if (aAttempt != mAttempt) {
    return;
  }
  Close();
  mReconnectDeadline = mClock.Now() + kReconnectDelay;
}

}
