#pragma once

#include "beryllever.grpc.pb.h"
#include "credits/creditstypes.h"
#include "framework/global/iclock.h"
#include "transport/clientbidi.h"

#include <functional>
#include <memory>
#include <string>

namespace beryllever::entry {

/** Control connection to one agent. Reconnects if the agent stops responding.
 */
class AgentLink
{
public:
  /** Called with the agent's latest state and the deadline of its lease. */
  using OnState =
    std::function<void(const v1::AgentState&, global::TimePoint aDeadline)>;
  using OnLost = std::function<void()>;

  AgentLink(const global::IClock& aClock,
            std::string aEntry,
            std::string aAddress,
            std::chrono::milliseconds aRenewInterval,
            OnState aOnState,
            OnLost aOnLost);
  ~AgentLink();

  /** Sets the demand; sends it immediately if it has changed. */
  void SetDemand(const credits::Demand& aDemand);
  /** Renews the lease and reconnects when due. Called periodically. */
  void Tick();

  const std::shared_ptr<v1::Agent::Stub>& Stub() const { return mStub; }
  bool IsConnected() const { return mHasState; }

private:
  using Call = transport::ClientBidi<v1::EntryDemand, v1::AgentState>;

  void Open();
  void Close();
  void SendDemand();
  void HandleState(uint64_t aAttempt, const v1::AgentState& aState);
  void HandleEnd(uint64_t aAttempt);

  const global::IClock& mClock;
  const std::string mEntry;
  const std::string mAddress;
  const std::chrono::milliseconds mRenewInterval;
  OnState mOnState;
  OnLost mOnLost;
  std::shared_ptr<v1::Agent::Stub> mStub;
  std::shared_ptr<Call> mCall;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
  credits::Demand mDemand;
  uint64_t mAttempt = 0;
  bool mHasState = false;
  global::TimePoint mLastSentAt{};
  global::TimePoint mRenewDeadline{};
  global::TimePoint mReconnectDeadline{};
};

}
