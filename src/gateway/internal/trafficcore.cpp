#include "gateway/internal/trafficcore.h"

#include "framework/log/log.h"

namespace beryllever::gateway {

namespace {

using std::chrono::duration_cast;

constexpr char kLogTag[] = "traffic";

}

TrafficCore::TrafficCore(const global::IClock& aClock,
                         const IRequestCodec& aCodec,
                         metrics::Metrics& aMetrics,
                         const std::string& aAvailabilityZone,
                         OpenTraffic& aOpen)
  : mContext(aClock, aCodec, aMetrics, aAvailabilityZone)
  , mOpen(aOpen)
{
  mAcceptTimer.setSingleShot(true);
  mAcceptTimer.setTimerType(Qt::PreciseTimer);
  QObject::connect(&mAcceptTimer, &QTimer::timeout, &mAcceptTimer, [this] {
    StopAccepting();
  });
}

TrafficCore::~TrafficCore()
{
  mListener.Close();
  const auto callers = std::exchange(mCallers, {});
  for (const auto& [id, caller] : callers) {
    // So that an answer begins no further request that has arrived.
    caller.mConnection->AnnounceClose();
    if (const auto exchange = caller.mExchange) {
      exchange->HandleStop();
    }
    if (const size_t n = caller.mConnection->EndNow(); n > 0) {
      LogUndelivered(caller, n);
    }
  }
  mOpen.mIsAccepting = false;
  mOpen.mConnections = 0;
}

bool
TrafficCore::Listen(const net::TcpAddress& aAddress)
{
  return mListener.Listen(aAddress,
                          [this](auto aSocket) { Accept(std::move(aSocket)); });
}

void
TrafficCore::Accept(std::shared_ptr<net::TcpSocket> aSocket)
{
  const uint64_t id = ++mLastId;
  const auto connection = std::make_shared<net::HttpServerConnection>(
    std::move(aSocket), mContext.mClock, [this] {
      return mContext.mConnectionLimits.Current();
    });
  mCallers[id].mConnection = connection;
  ++mOpen.mConnections;
  connection->Start(HandlersFor(id));
}

net::HttpServerConnection::Handlers
TrafficCore::HandlersFor(uint64_t aId)
{
  return { .mOnRequest =
             [this, aId](net::ServerRequest aRequest) {
               BeginRequest(aId, std::move(aRequest));
             },
           .mOnGone = [this, aId] { RemoveCaller(aId); },
           .mOnDrained =
             [this, aId] {
               if (const auto exchange = mCallers[aId].mExchange) {
                 exchange->HandleCallerDrained();
               }
             },
           .mMayHold =
             [this, aId](size_t aBytes) { return ReserveBytes(aId, aBytes); },
           .mOnRefused =
             [this, aId](unsigned aStatus, const std::string& aReason) {
               if (const auto it = mCallers.find(aId); it != mCallers.end()) {
                 ReleaseBytes(it->second);
               }
               LOGW("Request cannot be taken. status=" << aStatus << " reason="
                                                       << aReason);
               mContext.mMetrics.Count(
                 "beryllever_bad_requests",
                 { { "status", std::to_string(aStatus) } });
             } };
}

void
TrafficCore::BeginRequest(uint64_t aId, net::ServerRequest aRequest)
{
  Caller& caller = mCallers[aId];
  ++mOpen.mRequests;
  const auto exchange = std::make_shared<Exchange>(
    mContext, caller.mConnection, std::move(aRequest), [this, aId] {
      --mOpen.mRequests;
      if (const auto it = mCallers.find(aId); it != mCallers.end()) {
        it->second.mExchange.reset();
        ReleaseBytes(it->second);
      }
    });
  caller.mExchange = exchange;
  caller.mLastRequest = exchange->Id();
  exchange->Start();
}

void
TrafficCore::RemoveCaller(uint64_t aId)
{
  const auto it = mCallers.find(aId);
  if (it == mCallers.end()) {
    return;
  }
  ReleaseBytes(it->second);
  const Caller caller = std::move(it->second);
  mCallers.erase(it);
  --mOpen.mConnections;
  if (caller.mExchange) {
    caller.mExchange->HandleCallerGone();
  } else if (const size_t n = caller.mConnection->Undelivered(); n > 0) {
    LogUndelivered(caller, n);
  }
}

void
TrafficCore::LogUndelivered(const Caller& aCaller, size_t aBytes)
{
  LOGW("A connection ended before its last answer was delivered. request="
       << aCaller.mLastRequest << " undeliveredBytes=" << aBytes);
}

bool
TrafficCore::ReserveBytes(uint64_t aId, size_t aBytes)
{
  const auto it = mCallers.find(aId);
  const auto bytes = static_cast<int64_t>(aBytes);
  const int64_t limit = mContext.Limits().mMaxBufferedBytes;
  if (it == mCallers.end() || bytes > limit) {
    return false;
  }
  while (mReservedBytes + bytes > limit) {
    if (!RefuseLargestUnfinished(it->second.mReservedBytes + bytes)) {
      return false;
    }
  }
  it->second.mReservedBytes += bytes;
  mReservedBytes += bytes;
  mContext.mMetrics.Set("beryllever_held_request_bytes",
                        static_cast<double>(mReservedBytes));
  return true;
}

bool
TrafficCore::RefuseLargestUnfinished(int64_t aMinHeldBytes)
{
  const Caller* largest = nullptr;
  for (const auto& [id, caller] : mCallers) {
    if (!caller.mExchange && !caller.mConnection->HasRequest() &&
        caller.mReservedBytes > aMinHeldBytes &&
        (largest == nullptr ||
         caller.mReservedBytes > largest->mReservedBytes)) {
      largest = &caller;
    }
  }
  if (largest == nullptr) {
    return false;
  }
  LOGW("Refused the largest unfinished request to make room. heldBytes="
       << largest->mReservedBytes << " requesterBytes=" << aMinHeldBytes
       << " allHeldBytes=" << mReservedBytes);
  mContext.mMetrics.Count("beryllever_displaced_unfinished_requests", {});
  // The refusal may remove the caller.
  const auto connection = largest->mConnection;
  const int64_t before = mReservedBytes;
  connection->RefuseUnfinished();
  // False if nothing was freed, so that the loop of the caller ends.
  return mReservedBytes < before;
}

void
TrafficCore::ReleaseBytes(Caller& aCaller)
{
  mReservedBytes -= std::exchange(aCaller.mReservedBytes, 0);
}

void
TrafficCore::BeginDraining(const StopSchedule& aSchedule)
{
  mContext.mStop = aSchedule;
  const auto acceptTime = duration_cast<milliseconds>(
    aSchedule.mAcceptDeadline - mContext.mClock.Now());
  mAcceptTimer.start(std::max(milliseconds(0), acceptTime));
}

void
TrafficCore::StopAccepting()
{
  mListener.AcceptPending();
  mListener.Close();
  mOpen.mIsAccepting = false;
  mContext.mIsAccepting = false;
  for (const auto& [id, caller] : mCallers) {
    caller.mConnection->AnnounceClose();
  }
  LOGI("Stopped accepting connections. connections="
       << mCallers.size() << " openRequests=" << mOpen.mRequests);
}

void
TrafficCore::UpdateLoad(const net::TcpAddress& aEndpoint,
                        int aRequests,
                        bool aIsOpen,
                        double aSlowdown)
{
  for (const auto& [id, endpoint] : mContext.mSnapshot->AllEndpoints()) {
    if (endpoint.mAddress == aEndpoint) {
      mContext.mBalancer.RecordReport(
        id, { aRequests, aIsOpen, aSlowdown, mContext.mClock.Now() });
    }
  }
  mContext.WakeQueued();
}

}
