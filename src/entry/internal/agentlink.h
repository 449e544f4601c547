#pragma once

#include "beryllever.grpc.pb.h"
#include "credits/creditstypes.h"
#include "framework/global/iclock.h"
#include "transport/clientbidi.h"

#include <functional>
#include <memory>
#include <string>

namespace beryllever::entry {

/** Control connection to one agent. A connection that has gone silent is
 * replaced. */
class AgentLink
{
public:
  /** Gets the agent's newest state with the lease's deadline. */
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

  /** States the demand; sent at once if it has changed. */
  void SetDemand(const credits::Demand& aDemand);
  /** Renews the lease and looks after the connection. */
  void Tick();

  const std::shared_ptr<v1::Agent::Stub>& Stub() const { return mStub; }
  bool IsConnected() const { return mHasState; }

private:
  using Call = transport::ClientBidi<v1::EntryDemand, v1::AgentState>;

  void Open();
  void Close();
  void SendDemand();
  void TakeState(uint64_t aAttempt, const v1::AgentState& aState);
  void TakeEnd(uint64_t aAttempt);

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
  global::TimePoint mSilenceDeadline{};
};

}
