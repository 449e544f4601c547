#include "entry/internal/router.h"

#include "framework/log/log.h"
#include "routing/endpointselector.h"
#include "spread/sourceselection.h"

#include <algorithm>

namespace beryllever::entry {

using global::Error;
using global::ErrorKind;

namespace {

constexpr char kLogTag[] = "router";
constexpr std::chrono::milliseconds kTickInterval{ 100 };
/** A longer gap between ticks means that the process was paused. */
constexpr std::chrono::milliseconds kPauseThreshold{ 2000 };
constexpr std::chrono::milliseconds kMaxQueueTime{ 10000 };
constexpr std::chrono::milliseconds kBackoffAfterRefusal{ 50 };
constexpr std::chrono::milliseconds kBackoffAfterFailure{ 500 };
/** Number of endpoints that one entry connects to, divided evenly between the
 * pools. */
constexpr size_t kMaxLinks = 64;
constexpr size_t kMinLinksPerPool = 6;
constexpr std::chrono::milliseconds kMinRenewInterval{ 1000 };

}

Router::Router(const global::IClock& aClock,
               std::shared_ptr<configuration::IProcessSettings> aSettings,
               std::shared_ptr<configuration::IConfiguration> aConfiguration,
               metrics::Metrics& aMetrics)
  : mClock(aClock)
  , mSettings(std::move(aSettings))
  , mConfiguration(std::move(aConfiguration))
  , mMetrics(aMetrics)
  , mLeases(aClock)
  , mLastTick(aClock.Now())
{
}

void
Router::Start()
{
  mConfiguration->Subscribe([this] {
    UpdateLinks();
    DispatchWaiting();
  });
  QObject::connect(&mTimer, &QTimer::timeout, &mTimer, [this] { Tick(); });
  mTimer.start(kTickInterval);
  UpdateLinks();
}

void
Router::Acquire(PlacementRequest aRequest,
                QObject* aContext,
                std::function<void(Decision)> aOnDecision)
{
  transport::Post(&mContext,
                  [this,
                   pending = Pending{
                     std::move(aRequest), aContext, std::move(aOnDecision) }] {
                    Decide(pending);
                  });
}

void
Router::ReleasePlacement(const std::string& aAddress, PlacementResult aResult)
{
  transport::Post(
    &mContext, [this, aAddress, aResult] { HandleRelease(aAddress, aResult); });
}

void
Router::Reacquire(const std::string& aAddress)
{
  transport::Post(&mContext, [this, aAddress] {
    mLeases.Acquire(aAddress);
    UpdateEndpointDemand(aAddress);
  });
}

void
Router::Decide(Pending aPending)
{
  if (!aPending.mRequest.mFixedEndpoint.empty()) {
    DecideFixedEndpoint(std::move(aPending));
    return;
  }
  if (!aPending.mRequest.mIsRetry) {
    mRetryBudget.RecordRequest();
  } else if (!mRetryBudget.TryConsume()) {
    mMetrics.Count("beryllever_retries_denied_total");
    Refuse(aPending, ErrorKind::Overloaded, "the retry budget is exhausted");
    return;
  }
  // Requests that wait for the pool go first.
  const auto it = mQueues.find(aPending.mRequest.mPool);
  const bool isQueueEmpty =
    it == mQueues.end() || it->second.mQueue.Size() == 0;
  if (isQueueEmpty && TryPlace(aPending)) {
    return;
  }
  Enqueue(std::move(aPending));
}

void
Router::DecideFixedEndpoint(Pending aPending)
{
  const std::string& address = aPending.mRequest.mFixedEndpoint;
  if (!mKnownAddresses.contains(address)) {
    Refuse(aPending,
           ErrorKind::OutcomeUnknown,
           "the endpoint is unknown to this entry");
    return;
  }
  Place(aPending, address);
}

bool
Router::TryPlace(const Pending& aPending)
{
  const auto tables = mConfiguration->CurrentTables();
  const auto vms = mConfiguration->CurrentVms();
  const auto pool = tables->FindPool(aPending.mRequest.mPool);
  if (!pool) {
    return false;
  }
  const routing::EndpointSelector selector(*tables, *vms, mLeases);
  const auto* endpoint = selector.Choose(
    *pool,
    { aPending.mRequest.mAffinityKey, aPending.mRequest.mTriedEndpoints });
  if (!endpoint) {
    return false;
  }
  Place(aPending, endpoint->mAddress);
  return true;
}

void
Router::Place(const Pending& aPending, const std::string& aAddress)
{
  mLeases.Acquire(aAddress);
  Decision decision = Placement{ aAddress, GetLink(aAddress).Stub() };
  transport::Post(aPending.mContext,
                  [onDecision = aPending.mOnDecision,
                   decision = std::move(decision)] { onDecision(decision); });
  UpdateEndpointDemand(aAddress);
}

void
Router::Enqueue(Pending aPending)
{
  const std::string poolName = aPending.mRequest.mPool;
  auto [it, isNew] = mQueues.try_emplace(
    aPending.mRequest.mPool,
    static_cast<size_t>(mSettings->Limits().mQueuedRequests));
  PoolQueue& queue = it->second;
  const uint64_t id = ++mNextId;
  const PlacementRequest& request = aPending.mRequest;
  routing::QueuedRequest waiter{ id,
                                 request.mWorkspace,
                                 request.mPriority,
                                 request.mWeight,
                                 std::min(request.mDeadline,
                                          mClock.Now() + kMaxQueueTime) };
  // An endpoint that refused the request may accept it later.
  aPending.mRequest.mTriedEndpoints.clear();
  queue.mPending.emplace(id, std::move(aPending));
  if (const auto shed = queue.mQueue.Push(std::move(waiter))) {
    const auto node = queue.mPending.extract(shed->mId);
    mMetrics.Count("beryllever_requests_shed_total",
                   { { "priority", std::to_string(shed->mPriority) } });
    Refuse(node.mapped(), ErrorKind::Overloaded, "the request queue is full");
  }
  UpdatePoolDemand(poolName);
}

void
Router::Refuse(const Pending& aPending,
               ErrorKind aKind,
               const std::string& aMessage)
{
  transport::Post(aPending.mContext,
                  [onDecision = aPending.mOnDecision,
                   error = Error{ aKind, aMessage }] { onDecision(error); });
}

void
Router::HandleRelease(const std::string& aAddress, PlacementResult aResult)
{
  mLeases.Release(aAddress);
  if (aResult == PlacementResult::Refused) {
    mLeases.BackOff(aAddress, kBackoffAfterRefusal);
  } else if (aResult == PlacementResult::Failed) {
    mLeases.BackOff(aAddress, kBackoffAfterFailure);
  }
  UpdateEndpointDemand(aAddress);
  DispatchWaiting();
}

void
Router::DispatchWaiting()
{
  for (auto& [pool, queue] : mQueues) {
    DispatchPool(pool, queue);
  }
}

void
Router::DispatchPool(const std::string& aPool, PoolQueue& aQueue)
{
  const size_t before = aQueue.mQueue.Size();
  DropExpired(aQueue);
  while (const routing::QueuedRequest* front = aQueue.mQueue.Front()) {
    const auto it = aQueue.mPending.find(front->mId);
    if (!TryPlace(it->second)) {
      break;
    }
    aQueue.mPending.erase(it);
    aQueue.mQueue.Pop();
  }
  if (aQueue.mQueue.Size() != before) {
    UpdatePoolDemand(aPool);
  }
  mMetrics.Set("beryllever_waiting_requests",
               static_cast<double>(aQueue.mQueue.Size()),
               { { "pool", aPool } });
}

void
Router::DropExpired(PoolQueue& aQueue)
{
  for (const routing::QueuedRequest& waiter :
       aQueue.mQueue.RemoveExpired(mClock.Now())) {
    const auto node = aQueue.mPending.extract(waiter.mId);
    Refuse(
      node.mapped(), ErrorKind::Overloaded, "no endpoint available in time");
  }
}

void
Router::UpdatePoolDemand(const std::string& aPool)
{
  const auto pool = mConfiguration->CurrentTables()->FindPool(aPool);
  if (!pool) {
    return;
  }
  for (const configuration::Endpoint& endpoint : pool->mEndpoints) {
    UpdateEndpointDemand(endpoint.mAddress, *pool);
  }
}

void
Router::UpdateEndpointDemand(const std::string& aAddress)
{
  const auto name = mPoolByAddress.find(aAddress);
  if (name == mPoolByAddress.end()) {
    return;
  }
  if (const auto pool =
        mConfiguration->CurrentTables()->FindPool(name->second)) {
    UpdateEndpointDemand(aAddress, *pool);
  }
}

void
Router::UpdateEndpointDemand(const std::string& aAddress,
                             const configuration::Pool& aPool)
{
  const auto link = mLinks.find(aAddress);
  if (link == mLinks.end()) {
    return;
  }
  const auto queue = mQueues.find(aPool.mName);
  const int waiting =
    queue == mQueues.end() ? 0 : static_cast<int>(queue->second.mQueue.Size());
  const int endpoints =
    std::max<int>(1, static_cast<int>(aPool.mEndpoints.size()));
  const int waitingEach = (waiting + endpoints - 1) / endpoints;
  const auto state = mLeases.States().find(aAddress);
  const int inUse = state == mLeases.States().end() ? 0 : state->second.mInUse;
  const int spare = inUse > 0 ? 1 : 0;
  link->second->SetDemand({ inUse, inUse + waitingEach + spare });
}

void
Router::UpdateLinks()
{
  const std::set<std::string> wanted = SelectLinks();
  mKnownAddresses.insert(wanted.begin(), wanted.end());
  std::erase_if(
    mLinks, [&](const auto& aLink) { return !wanted.contains(aLink.first); });
  for (const std::string& address : wanted) {
    GetLink(address);
  }
}

std::set<std::string>
Router::SelectLinks()
{
  std::set<std::string> wanted;
  const auto tables = mConfiguration->CurrentTables();
  const size_t perPool = std::max(
    kMinLinksPerPool, kMaxLinks / std::max<size_t>(1, tables->Pools().size()));
  for (const auto& [name, pool] : tables->Pools()) {
    std::vector<spread::Candidate> candidates;
    for (const configuration::Endpoint& endpoint : pool->mEndpoints) {
      mPoolByAddress[endpoint.mAddress] = name;
      candidates.push_back(
        { endpoint.mVm, endpoint.mAvailabilityZone, endpoint.mAddress });
    }
    for (const auto& chosen :
         spread::SelectSources(mSettings->VmName(), candidates, perPool)) {
      wanted.insert(chosen.mAddress);
    }
  }
  return wanted;
}

AgentLink&
Router::GetLink(const std::string& aAddress)
{
  auto& link = mLinks[aAddress];
  if (!link) {
    link = std::make_unique<AgentLink>(
      mClock,
      mSettings->VmName(),
      aAddress,
      kMinRenewInterval,
      [this, aAddress](const v1::AgentState& aState,
                       global::TimePoint aDeadline) {
        mLeases.SetLease(aAddress,
                         { aState.slots(), aDeadline },
                         aState.unleased(),
                         aState.bears());
        DispatchWaiting();
      },
      [this, aAddress] { mLeases.RemoveLease(aAddress); });
  }
  return *link;
}

void
Router::Tick()
{
  const global::TimePoint now = mClock.Now();
  const bool wasPaused = now - mLastTick > kPauseThreshold;
  mLastTick = now;
  if (wasPaused) {
    // Capacities and leases may have changed during the pause, even if their
    // deadlines have not passed.
    LOGW("The process was paused; all leases are dropped.");
    mLeases.RemoveAllLeases();
  }
  for (auto& [address, link] : mLinks) {
    link->Tick();
  }
  DispatchWaiting();
}

}
