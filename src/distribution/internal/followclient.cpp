#include "distribution/followclient.h"

#include "framework/log/log.h"
#include "transport/channel.h"

#include <QCoreApplication>

namespace beryllever::distribution {

namespace {

constexpr char kLogTag[] = "distribution";
constexpr std::chrono::milliseconds kTickInterval{ 500 };
constexpr std::chrono::milliseconds kSilenceTimeout{ 3000 };
constexpr std::chrono::hours kCallTimeout{ 24 };

}

FollowClient::FollowClient(const global::IClock& aClock,
                           std::string aAddress,
                           MakeRequest aMakeRequest,
                           OnUpdate aOnUpdate)
  : mClock(aClock)
  , mAddress(std::move(aAddress))
  , mMakeRequest(std::move(aMakeRequest))
  , mOnUpdate(std::move(aOnUpdate))
{
  QObject::connect(&mTimer, &QTimer::timeout, &mContext, [this] { Tick(); });
  mTimer.start(kTickInterval);
  Open();
}

FollowClient::~FollowClient()
{
  Close();
}

bool
FollowClient::IsAlive() const
{
  return mCall && mClock.Now() < mSilenceDeadline;
}

void
FollowClient::Restart()
{
  Close();
  Open();
}

void
FollowClient::Open()
{
  const uint64_t attempt = ++mAttempt;
  mSilenceDeadline = mClock.Now() + kSilenceTimeout;
  mStub = v1::Peer::NewStub(transport::MakeChannel(mAddress));
  const std::weak_ptr<bool> token = mLifetimeToken;
  mCall = Call::Start(
    QCoreApplication::instance(),
    mMakeRequest(),
    std::chrono::system_clock::now() + kCallTimeout,
    [this](grpc::ClientContext* aContext,
           const v1::FollowRequest* aRequest,
           auto* aReactor) {
      mStub->async()->Follow(aContext, aRequest, aReactor);
    },
    [this, token, attempt](const v1::FollowUpdate& aUpdate) {
      if (!token.expired()) {
        HandleUpdate(attempt, aUpdate);
      }
    },
    [this, token, attempt](const grpc::Status&) {
      if (!token.expired()) {
        HandleEnd(attempt);
      }
    });
  mCall->Read();
}

void
FollowClient::Close()
{
  ++mAttempt;
  if (mCall) {
    mCall->Cancel();
    mCall.reset();
  }
}

void
FollowClient::Tick()
{
  if (mClock.Now() < mSilenceDeadline) {
    return;
  }
  if (mCall) {
    LOGW("A followed peer is silent; its connection is replaced. peer="
         << mAddress);
  }
  Restart();
}

void
FollowClient::HandleUpdate(uint64_t aAttempt, const v1::FollowUpdate& aUpdate)
{
  if (aAttempt != mAttempt) {
    return;
  }
  mSilenceDeadline = mClock.Now() + kSilenceTimeout;
  mCall->Read();
  mOnUpdate(aUpdate);
}

void
FollowClient::HandleEnd(uint64_t aAttempt)
{
  if (aAttempt != mAttempt) {
    return;
  }
  // Tick opens a new call after a pause.
  mCall.reset();
  mSilenceDeadline = mClock.Now() + kTickInterval;
}

}
