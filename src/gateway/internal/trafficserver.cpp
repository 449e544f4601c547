#include "gateway/trafficserver.h"

#include "gateway/internal/trafficcore.h"
#include "transport/post.h"

namespace beryllever::gateway {

TrafficServer::TrafficServer(const global::IClock& aClock,
                             const IRequestCodec& aCodec,
                             metrics::Metrics& aMetrics,
                             std::string aAvailabilityZone)
  : mClock(aClock)
  , mCodec(aCodec)
  , mMetrics(aMetrics)
  , mAvailabilityZone(std::move(aAvailabilityZone))
  , mOpen(std::make_unique<OpenTraffic>())
{
}

TrafficServer::~TrafficServer()
{
  Stop();
}

bool
TrafficServer::Start(const net::TcpAddress& aAddress)
{
  mContext.moveToThread(&mThread);
  mThread.start();
  bool isListening = false;
  QMetaObject::invokeMethod(
    &mContext,
    [&] {
      mCore = std::make_unique<TrafficCore>(
        mClock, mCodec, mMetrics, mAvailabilityZone, *mOpen);
      mCore->Context().mPromptGuard.SetAnnounce(mAnnounceParts);
      isListening = mCore->Listen(aAddress);
    },
    Qt::BlockingQueuedConnection);
  return isListening;
}

void
TrafficServer::Stop()
{
  if (!mThread.isRunning()) {
    return;
  }
  QMetaObject::invokeMethod(
    &mContext, [this] { mCore.reset(); }, Qt::BlockingQueuedConnection);
  mThread.quit();
  mThread.wait();
}

void
TrafficServer::SetSnapshot(std::shared_ptr<const published::Snapshot> aSnapshot)
{
  transport::Post(&mContext, [this, snapshot = std::move(aSnapshot)] {
    mCore->Context().SetSnapshot(snapshot);
  });
}

void
TrafficServer::SetLimits(const SiteLimits& aLimits, const GatewayFleet& aFleet)
{
  transport::Post(&mContext, [this, aLimits, aFleet] {
    mCore->Context().SetLimits(aLimits, aFleet);
  });
}

void
TrafficServer::UpdateLoad(const net::TcpAddress& aEndpoint,
                          int aRequests,
                          bool aIsOpen,
                          double aSlowdown)
{
  transport::Post(&mContext, [this, aEndpoint, aRequests, aIsOpen, aSlowdown] {
    mCore->UpdateLoad(aEndpoint, aRequests, aIsOpen, aSlowdown);
  });
}

void
TrafficServer::ApplyPartNotices(const quarantine::Notices& aNotices)
{
  transport::Post(&mContext, [this, aNotices] {
    mCore->Context().mPromptGuard.Apply(aNotices);
  });
}

void
TrafficServer::BeginDraining(const StopSchedule& aSchedule)
{
  transport::Post(&mContext,
                  [this, aSchedule] { mCore->BeginDraining(aSchedule); });
}

int
TrafficServer::OpenRequests() const
{
  return mOpen->mRequests;
}

int
TrafficServer::OpenConnections() const
{
  return mOpen->mConnections;
}

bool
TrafficServer::HasEnded() const
{
  return !mOpen->mIsAccepting && mOpen->mConnections == 0;
}

}
