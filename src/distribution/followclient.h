#pragma once

#include "beryllever.grpc.pb.h"
#include "framework/global/iclock.h"
#include "transport/clientstream.h"

#include <QObject>
#include <QTimer>
#include <functional>
#include <memory>
#include <string>

namespace beryllever::distribution {

/** Follows one peer: takes its changes and replaces a connection that has gone
 * silent. */
class FollowClient
{
public:
  using OnUpdate = std::function<void(const v1::FollowUpdate&)>;
  using MakeRequest = std::function<v1::FollowRequest()>;

  FollowClient(const global::IClock& aClock,
               std::string aAddress,
               MakeRequest aMakeRequest,
               OnUpdate aOnUpdate);
  ~FollowClient();

  const std::string& Address() const { return mAddress; }
  /** Whether the peer has been heard of lately. */
  bool IsAlive() const;
  /** Asks for all changes anew. */
  void Restart();

private:
  using Call = transport::ClientStream<v1::FollowRequest, v1::FollowUpdate>;

  void Open();
  void Close();
  void Tick();
  void HandleUpdate(uint64_t aAttempt, const v1::FollowUpdate& aUpdate);
  void HandleEnd(uint64_t aAttempt);

  const global::IClock& mClock;
  const std::string mAddress;
  MakeRequest mMakeRequest;
  OnUpdate mOnUpdate;
  QObject mContext;
  QTimer mTimer;
  std::unique_ptr<v1::Peer::Stub> mStub;
  std::shared_ptr<Call> mCall;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
  uint64_t mAttempt = 0;
  global::TimePoint mSilenceDeadline{};
};

}
