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

/** Follows one peer: receives its changes, and replaces a connection on which
 * nothing arrives. */
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
  /** Whether the stream is open and the peer has sent an update recently. */
  bool IsAlive() const;
  /** Reopens the stream with a new request. */
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
  /** Expires with this object, so that late callbacks can tell. */
  std::shared_ptr<bool> mLifetimeToken = std::make_shared<bool>(true);
  uint64_t mAttempt = 0;
  global::TimePoint mSilenceDeadline{};
};

}
