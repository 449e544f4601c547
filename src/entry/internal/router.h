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

/** A request for a place at an endpoint. */
struct PlacementRequest
{
  std::string mPool;
  std::string mWorkspace;
  int mPriority = 5;
  int mWeight = 1;
  std::string mAffinityKey;
  std::set<std::string> mTried;
  global::TimePoint mDeadline;
  /** Address of the only endpoint that can serve the request; empty if any can.
   */
  std::string mFixedEndpoint;
  bool mIsRetry = false;
};

/** A place at an endpoint; it must be returned. */
struct Placement
{
  std::string mAddress;
  std::shared_ptr<v1::Agent::Stub> mStub;
};

using Decision = std::variant<Placement, global::Error>;

/** How a placement was used. */
enum class PlacementEnd
{
  Served,
  Refused,
  Failed,
};

/**
 * Decides which endpoint serves a request, and when. Lives on the control
 * thread; Acquire, Return and Rejoin may be called from any thread.
 */
class Router
{
public:
  Router(const global::IClock& aClock,
         std::shared_ptr<configuration::IProcessSettings> aSettings,
         std::shared_ptr<configuration::IConfiguration> aConfiguration,
         metrics::Metrics& aMetrics);

  void Start();

  /** Hands the decision to a function on the thread of the context. */
  void Acquire(PlacementRequest aRequest,
               QObject* aContext,
               std::function<void(Decision)> aOnDecision);
  void Return(const std::string& aAddress, PlacementEnd aEnd);
  /** Counts a placement again that was returned while its answer was held back.
   */
  void Rejoin(const std::string& aAddress);

  /** Where a request would go, and why not elsewhere. */
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
  void DecideFixed(Pending aPending);
  bool TryPlace(const Pending& aPending);
  void Place(const Pending& aPending, const std::string& aAddress);
  void Enqueue(Pending aPending);
  void Refuse(const Pending& aPending,
              global::ErrorKind aKind,
              const std::string& aMessage);
  void Release(const std::string& aAddress, PlacementEnd aEnd);
  void Pump();
  void PumpPool(const std::string& aPool, PoolQueue& aQueue);
  void DropExpired(PoolQueue& aQueue);
  /** States the demand to the endpoints of a pool, or to one endpoint. */
  void UpdateDemand(const std::string& aPool);
  void UpdateDemandOf(const std::string& aAddress);
  void UpdateDemandOf(const std::string& aAddress,
                      const configuration::Pool& aPool);
  void UpdateLinks();
  void Tick();
  AgentLink& LinkFor(const std::string& aAddress);
  std::set<std::string> WantedLinks();

  const global::IClock& mClock;
  std::shared_ptr<configuration::IProcessSettings> mSettings;
  std::shared_ptr<configuration::IConfiguration> mConfiguration;
  metrics::Metrics& mMetrics;
  credits::LeaseTable mWallet;
  std::map<std::string, std::unique_ptr<AgentLink>> mLinks;
  /** Addresses that the tables have named; no other address is ever connected
   * to. */
  std::set<std::string> mKnownAddresses;
  std::map<std::string, std::string> mPoolOf;
  std::map<std::string, PoolQueue> mQueues;
  routing::RetryBudget mRetryBudget;
  uint64_t mNextId = 0;
  global::TimePoint mLastTick;
  QObject mContext;
  QTimer mTimer;
};

}
