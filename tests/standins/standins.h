#pragma once

#include "framework/net/httpserver.h"
#include "framework/settings/jsondocument.h"

#include <QList>
#include <QMap>
#include <QSet>
#include <QTimer>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace beryllever::standins {

using settings::Json;

/** A stand-in answers requests on one address. */
class IStandin
{
public:
  virtual ~IStandin() = default;
  virtual void Handle(net::HttpExchange* aExchange) = 0;
};

void
ReplyJson(net::HttpExchange* aExchange,
          int aStatus,
          const Json& aJson,
          const net::Headers& aHeaders = {});
Json
BodyOf(const net::HttpExchange* aExchange);
/** A request as text, for golden files. */
std::string
Describe(const net::HttpExchange* aExchange);

/** The platform: Consul's KV and catalog with blocking queries. */
class PlatformStandin : public IStandin
{
public:
  PlatformStandin();
  void Handle(net::HttpExchange* aExchange) override;

private:
  struct Waiter
  {
    net::HttpExchange* mExchange;
    uint64_t mIndex;
    bool mIsCatalog;
  };
  void Read(net::HttpExchange* aExchange, bool aIsCatalog);
  void Answer(net::HttpExchange* aExchange, bool aIsCatalog);
  void Change(std::map<std::string, Json>& aMap,
              const std::string& aKey,
              const Json& aValue,
              uint64_t& aIndex);
  void Wake();
  void SetMode(const Json& aMode);

  struct State
  {
    std::map<std::string, Json> mPairs;
    std::map<std::string, Json> mNodes;
    uint64_t mPairsIndex = 1;
    uint64_t mNodesIndex = 1;
  };
  State mState;
  State mStale;
  uint64_t mIndex = 1;
  bool mIsDown = false;
  bool mIsStale = false;
  int mDelayMilliseconds = 0;
  int mReads = 0;
  std::vector<Waiter> mWaiters;
  QObject mContext;
};

/** One rank of a model engine. */
class EngineStandin : public IStandin
{
public:
  EngineStandin(int aBears,
                int aColdBears,
                int aTokenMilliseconds,
                int aPort,
                QList<int> aPeers);
  void Handle(net::HttpExchange* aExchange) override;

private:
  struct Generation;
  void Chat(net::HttpExchange* aExchange);
  void Step(const std::shared_ptr<Generation>& aGeneration);
  void End(const std::shared_ptr<Generation>& aGeneration);
  void Control(net::HttpExchange* aExchange);
  void Schedule(net::HttpExchange* aExchange);
  uint64_t MapAt(uint64_t aStep) const;
  void Arrive();
  void TryStep();
  int Bears() const;

  const int mBears;
  const int mColdBears;
  int mTokenMilliseconds;
  std::string mIncarnation;
  int mServed = 0;
  int mRunning = 0;
  int mMostRunning = 0;
  int mOverloads = 0;
  int mArrivals = 0;
  /** Until then, more requests than the cold engine bears do not count: reports
   * lag. */
  global::TimePoint mGraceDeadline{};
  global::SteadyClock mClock;
  global::TimePoint mColdSince = mClock.Now();
  int mCancelled = 0;
  int mResumed = 0;
  bool mIsNonsense = false;
  std::map<std::string, std::weak_ptr<Generation>> mByRequest;
  Json mRequests = Json::array();
  Json mSchedule = Json::array();
  uint64_t mFence = 0;
  bool mChecksFence = true;
  uint64_t mStep = 0;
  uint64_t mPrepared = 0;
  /** Ports of the other ranks; all advance in lock-step. */
  const QList<int> mPeers;
  /** Step that each peer has reached. */
  std::map<int, uint64_t> mReached;
  const int mPort;
  /** Map of each step that was run. */
  Json mHistory = Json::array();
  QTimer mTimer;
  QObject mContext;
};

/** A plain service that counts executions by the id in the body. */
class ServiceStandin : public IStandin
{
public:
  ServiceStandin();
  void Handle(net::HttpExchange* aExchange) override;

private:
  void Call(net::HttpExchange* aExchange);

  std::string mIncarnation;
  std::map<std::string, int> mExecutions;
  Json mRequests = Json::array();
  int mDelayMilliseconds = 0;
  bool mLosesAnswers = false;
  bool mCutsAnswers = false;
  QObject mContext;
};

/** A trace collector: OTLP in, Jaeger's query interface out. */
class CollectorStandin : public IStandin
{
public:
  void Handle(net::HttpExchange* aExchange) override;

private:
  void Take(const Json& aRequest);
  Json Query(const std::string& aTraceId) const;

  std::map<std::string, std::vector<Json>> mSpans;
};

}
