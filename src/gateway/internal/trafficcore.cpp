#include "gateway/internal/trafficcore.h"

#include "framework/log/log.h"

namespace beryllever::gateway {

namespace {

constexpr char kLogTag[] = "traffic";

}

TrafficCore::TrafficCore(const global::IClock& aClock,
                         const IRequestCodec& aCodec,
                         metrics::Metrics& aMetrics,
                         const std::string& aAvailabilityZone,
                         std::atomic<int>& aOpenRequests)
  : mTraffic(aClock, aCodec, aMetrics, aAvailabilityZone)
  , mOpenRequests(aOpenRequests)
{
}

TrafficCore::~TrafficCore()
{
  mListener.Close();
  for (auto& [id, caller] : mCallers) {
    caller.mConnection->Start({});
  }
}

bool
TrafficCore::Listen(const net::TcpAddress& aAddress)
{
  return mListener.Listen(aAddress,
                          [this](auto aSocket) { Accept(std::move(aSocket)); });
}

net::ServerLimits
TrafficCore::Limits() const
{
  if (!mTraffic.mSnapshot->IsKnown()) {
    return {};
  }
  const published::CallerLimits& limits = mTraffic.mSnapshot->Tables().mLimits;
  return { limits.mHeaderBytes,
           limits.mBodyBytes,
           limits.mHeaderTimeout,
           limits.mIdleTimeout };
}

void
TrafficCore::Accept(std::shared_ptr<net::TcpSocket> aSocket)
{
  const uint64_t id = ++mLastId;
  const auto connection = std::make_shared<net::HttpServerConnection>(
    std::move(aSocket), mTraffic.mClock, Limits());
  mCallers[id].mConnection = connection;
  connection->Start(HandlersFor(id));
}

net::HttpServerConnection::Handlers
TrafficCore::HandlersFor(uint64_t aId)
{
  return {
    .mOnRequest =
      [this, aId](net::ServerRequest aRequest) {
        Begin(aId, std::move(aRequest));
      },
    .mOnGone = [this, aId] { Drop(aId); },
    .mOnDrained =
      [this, aId] {
        if (const auto exchange = mCallers[aId].mExchange) {
          exchange->HandleCallerDrained();
        }
      },
    .mMayHold = [this, aId](size_t aBytes) { return MayHold(aId, aBytes); },
    .mOnRefused =
      [this](unsigned aStatus, const std::string& aReason) {
        LOGW("Request cannot be taken. status=" << aStatus
                                                << " reason=" << aReason);
        mTraffic.mMetrics.Count("beryllever_bad_requests",
                                { { "status", std::to_string(aStatus) } });
      }
  };
}

void
TrafficCore::Begin(uint64_t aId, net::ServerRequest aRequest)
{
  Caller& caller = mCallers[aId];
  ++mOpenRequests;
  const auto exchange = std::make_shared<Exchange>(
    mTraffic, caller.mConnection, std::move(aRequest), [this, aId] {
      --mOpenRequests;
      if (const auto it = mCallers.find(aId); it != mCallers.end()) {
        it->second.mExchange.reset();
        ReturnHeld(it->second);
      }
    });
  caller.mExchange = exchange;
  exchange->Start();
}

void
TrafficCore::Drop(uint64_t aId)
{
  const auto it = mCallers.find(aId);
  if (it == mCallers.end()) {
    return;
  }
  ReturnHeld(it->second);
  const Caller caller = std::move(it->second);
  mCallers.erase(it);
  if (caller.mExchange) {
    caller.mExchange->HandleCallerGone();
  }
}

bool
TrafficCore::MayHold(uint64_t aId, size_t aBytes)
{
  const auto it = mCallers.find(aId);
  const auto bytes = static_cast<int64_t>(aBytes);
  if (it == mCallers.end() ||
      mHeldBytes + bytes > mTraffic.Bounds().mHeldBytes) {
    return false;
  }
  it->second.mHeldBytes += bytes;
  mHeldBytes += bytes;
  mTraffic.mMetrics.Set("beryllever_held_request_bytes",
                        static_cast<double>(mHeldBytes));
  return true;
}

void
TrafficCore::ReturnHeld(Caller& aCaller)
{
  mHeldBytes -= std::exchange(aCaller.mHeldBytes, 0);
}

void
TrafficCore::BeginLeaving()
{
  mTraffic.mIsLeaving = true;
}

void
TrafficCore::EndIntake()
{
  mListener.Close();
  std::vector<std::shared_ptr<net::HttpServerConnection>> idle;
  for (const auto& [id, caller] : mCallers) {
    if (!caller.mExchange) {
      idle.push_back(caller.mConnection);
    }
  }
  for (const auto& connection : idle) {
    connection->Close();
  }
  LOGI("No more requests are taken. idleConnections="
       << idle.size() << " openRequests=" << mOpenRequests);
}

void
TrafficCore::TakeLoad(const net::TcpAddress& aEndpoint,
                      int aRequests,
                      bool aIsOpen,
                      double aPace)
{
  for (const auto& [id, endpoint] : mTraffic.mSnapshot->AllEndpoints()) {
    if (endpoint.mAddress == aEndpoint) {
      mTraffic.mLedger.TakeReport(
        id, { aRequests, aIsOpen, aPace, mTraffic.mClock.Now() });
    }
  }
  mTraffic.Wake();
}

}
