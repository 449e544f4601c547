#pragma once

#include "configuration/iconfiguration.h"
#include "configuration/processsettings.h"
#include "credits/leasetable.h"
#include "entry/internal/agentlink.h"
#include "framework/global/errors.h"
#include "framework/metrics/metrics.h"
#include "framework/settings/jsondocument.h"
#include "routing/retrybudget.h"
#include "routing/waitqueue.h"

#include <QTimer>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <variant>

namespace beryllever::entry {

/** A request for a slot at an endpoint. */
struct PlacementRequest
{
  std::string mPool;
  std::string mWorkspace;
  int mPriority = 5;
  int mWeight = 1;
  std::string mAffinityKey;
  std::set<std::string> mTriedEndpoints;
  global::TimePoint mDeadline;
  /** Address of the only endpoint that can serve the request; empty if any
   * endpoint of the pool can. */
  std::string mFixedEndpoint;
  bool mIsRetry = false;
};

/** A slot at an endpoint; must be returned with Router::ReleasePlacement. */
struct Placement
{
  std::string mAddress;
  std::shared_ptr<v1::Agent::Stub> mStub;
};

using Decision = std::variant<Placement, global::Error>;

/** Result of the attempt for which a placement was acquired. */
enum class PlacementResult
{
  Served,
  Refused,
  Failed,
};

/**
 * Selects an endpoint for each request, and queues requests until one is
 * available. Runs on the control thread; Acquire, ReleasePlacement and
 * Reacquire may be called from any thread.
 */
class Router
{
public:
  Router(const global::IClock& aClock,
         std::shared_ptr<configuration::IProcessSettings> aSettings,
         std::shared_ptr<configuration::IConfiguration> aConfiguration,
         metrics::Metrics& aMetrics);

  void Start();

  /** Calls aOnDecision with the decision, on the thread of aContext. */
  void Acquire(PlacementRequest aRequest,
               QObject* aContext,
               std::function<void(Decision)> aOnDecision);
  void ReleasePlacement(const std::string& aAddress, PlacementResult aResult);
  /** Counts a placement again that was returned while its caller read too
   * slowly. */
  void Reacquire(const std::string& aAddress);

  /** Explains which endpoints a request may use, and why not the others. */
  settings::Json Explain(const std::string& aWorkspace,
                         const std::string& aKind) const;
  settings::Json Status() const;

private:
  struct Pending
  {
    PlacementRequest mRequest;
    QObject* mContext = nullptr;
    std::function<void(Decision)> mOnDecision;
  };
  struct PoolQueue
  {
    explicit PoolQueue(size_t aMaxSize)
      : mQueue(aMaxSize)
    {
    }
    routing::WaitQueue mQueue;
    std::map<uint64_t, Pending> mPending;
  };

  void Decide(Pending aPending);
  void DecideFixedEndpoint(Pending aPending);
  bool TryPlace(const Pending& aPending);
  void Place(const Pending& aPending, const std::string& aAddress);
  void Enqueue(Pending aPending);
  void Refuse(const Pending& aPending,
              global::ErrorKind aKind,
              const std::string& aMessage);
  void HandleRelease(const std::string& aAddress, PlacementResult aResult);
  void DispatchWaiting();
  void DispatchPool(const std::string& aPool, PoolQueue& aQueue);
  void DropExpired(PoolQueue& aQueue);
  /** Sends the demand to the endpoints of a pool, or to one endpoint. */
  void UpdatePoolDemand(const std::string& aPool);
  void UpdateEndpointDemand(const std::string& aAddress);
  void UpdateEndpointDemand(const std::string& aAddress,
                            const configuration::Pool& aPool);
  void UpdateLinks();
  void Tick();
  AgentLink& GetLink(const std::string& aAddress);
  std::set<std::string> SelectLinks();

  const global::IClock& mClock;
  std::shared_ptr<configuration::IProcessSettings> mSettings;
  std::shared_ptr<configuration::IConfiguration> mConfiguration;
  metrics::Metrics& mMetrics;
  credits::LeaseTable mLeases;
  std::map<std::string, std::unique_ptr<AgentLink>> mLinks;
  /** All addresses that the entry has been connected to. A ticket or stream
   * position from a caller is only followed to one of them. */
  std::set<std::string> mKnownAddresses;
  std::map<std::string, std::string> mPoolByAddress;
  std::map<std::string, PoolQueue> mQueues;
  routing::RetryBudget mRetryBudget;
  uint64_t mNextId = 0;
  global::TimePoint mLastTick;
  QObject mContext;
  QTimer mTimer;
};

}
