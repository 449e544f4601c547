// Service while an availability zone leaves and returns, and many entries at
// one cold endpoint, beside baselines. Entries, credits and capacity are the
// product's; endpoints and time are fakes.
#include "credits/endpointcapacity.h"
#include "credits/leasemanager.h"
#include "report.h"
#include "routing/endpointselector.h"

#include <deque>
#include <memory>
#include <random>

using namespace beryllever;
using namespace std::chrono_literals;

namespace {

constexpr unsigned kSeed = 5;
constexpr auto kTick = 5ms;
constexpr auto kServiceTime = 200ms;
constexpr auto kRetryWait = 25ms;
constexpr auto kGiveUp = 5000ms;
constexpr auto kLateFirstToken = 340ms;
constexpr auto kLeave = 20s;
constexpr auto kReturn = 40s;
constexpr auto kEnd = 60s;
constexpr int kWarmBears = 16;
constexpr int kColdBears = 2;
constexpr int kServedUntilWarm = 60;
constexpr int kEntries = 6;
constexpr int kEndpoints = 12;

/** Back end that falls over when it holds more than it bears. */
struct FakeBackEnd
{
  std::string mZone;
  int mServed = kServedUntilWarm;
  int mRunning = 0;
  int mLargestOverload = 0;
  int mOverloads = 0;
  int mArrivals = 0;

  int Bears() const
  {
    const int served = std::min(mServed, kServedUntilWarm);
    return kColdBears + (kWarmBears - kColdBears) * served / kServedUntilWarm;
  }

  void Begin()
  {
    ++mArrivals;
    ++mRunning;
    if (mRunning > Bears()) {
      ++mOverloads;
      mLargestOverload = std::max(mLargestOverload, mRunning - Bears());
    }
  }
};

struct Job
{
  global::TimePoint mSince;
  global::TimePoint mNextTry;
  global::TimePoint mEnd{};
  int mEntry = 0;
  int mEndpoint = -1;
};

/** A policy decides which endpoint an entry uses, and whether the endpoint
 * takes it. */
class IPolicy
{
public:
  virtual ~IPolicy() = default;
  virtual int Choose(int aEntry,
                     const configuration::Tables& aKnown,
                     const std::string& aKey) = 0;
  virtual bool Admit(int aEntry,
                     int aEndpoint,
                     const configuration::Tables& aPublished) = 0;
  virtual void End(int aEntry, int aEndpoint, global::Duration aTook) = 0;
  virtual void Tick() {}
  virtual void Restart(int) {}
};

class RoundRobin : public IPolicy
{
public:
  explicit RoundRobin(const configuration::Pool& aPool)
    : mPool(aPool)
    , mNext(kEntries, 0)
  {
  }

  int Choose(int aEntry,
             const configuration::Tables& aKnown,
             const std::string&) override
  {
    for (int i = 0; i < kEndpoints; ++i) {
      const int endpoint = (mNext[aEntry]++ + aEntry) % kEndpoints;
      if (!aKnown.Service().IsOutOfService(
            "", mPool.mEndpoints[endpoint].mAvailabilityZone)) {
        return endpoint;
      }
    }
    return -1;
  }
  bool Admit(int, int, const configuration::Tables&) override { return true; }
  void End(int, int, global::Duration) override {}

private:
  const configuration::Pool& mPool;
  std::vector<int> mNext;
};

class LeastOutstanding : public IPolicy
{
public:
  explicit LeastOutstanding(const configuration::Pool& aPool)
    : mPool(aPool)
    , mOutstanding(kEntries, std::vector<int>(kEndpoints, 0))
  {
  }

  int Choose(int aEntry,
             const configuration::Tables& aKnown,
             const std::string&) override
  {
    int best = -1;
    for (int i = 0; i < kEndpoints; ++i) {
      const int endpoint = (i + aEntry * 2) % kEndpoints;
      const bool isOut = aKnown.Service().IsOutOfService(
        "", mPool.mEndpoints[endpoint].mAvailabilityZone);
      if (!isOut && (best < 0 || mOutstanding[aEntry][endpoint] <
                                   mOutstanding[aEntry][best])) {
        best = endpoint;
      }
    }
    if (best >= 0) {
      ++mOutstanding[aEntry][best];
    }
    return best;
  }
  bool Admit(int, int, const configuration::Tables&) override { return true; }
  void End(int aEntry, int aEndpoint, global::Duration) override
  {
    --mOutstanding[aEntry][aEndpoint];
  }

private:
  const configuration::Pool& mPool;
  std::vector<std::vector<int>> mOutstanding;
};

/** The product's parts: wallets and selectors at entries, ledgers and
 * capacities at agents. */
class Credits : public IPolicy
{
public:
  Credits(global::ManualClock& aClock, const configuration::Pool& aPool)
    : mClock(aClock)
    , mPool(aPool)
  {
    for (int i = 0; i < kEntries; ++i) {
      mWallets.push_back(std::make_unique<credits::LeaseTable>(aClock));
    }
    for (int i = 0; i < kEndpoints; ++i) {
      mLedgers.push_back(std::make_unique<credits::LeaseManager>(aClock));
      mCapacities.push_back(std::make_unique<credits::EndpointCapacity>(
        aClock, credits::CapacityBounds{ kColdBears, kWarmBears }));
      mIncarnations.push_back(1);
      Report(i);
      Warm(*mCapacities[i], aClock);
    }
  }

  int Choose(int aEntry,
             const configuration::Tables& aKnown,
             const std::string& aKey) override
  {
    const routing::EndpointSelector selector(aKnown, mVms, *mWallets[aEntry]);
    const auto* endpoint = selector.Choose(mPool, { aKey, {} });
    if (!endpoint) {
      return -1;
    }
    mWallets[aEntry]->Acquire(endpoint->mAddress);
    return static_cast<int>(endpoint - mPool.mEndpoints.data());
  }

  bool Admit(int aEntry,
             int aEndpoint,
             const configuration::Tables& aPublished) override
  {
    const auto& endpoint = mPool.mEndpoints[aEndpoint];
    const bool isOut =
      aPublished.Service().IsOutOfService("", endpoint.mAvailabilityZone);
    if (!isOut && mLedgers[aEndpoint]->Admit(std::to_string(aEntry)) ==
                    credits::Admission::Admitted) {
      return true;
    }
    mWallets[aEntry]->Release(endpoint.mAddress);
    mWallets[aEntry]->BackOff(endpoint.mAddress, 50ms);
    return false;
  }

  void End(int aEntry, int aEndpoint, global::Duration) override
  {
    mLedgers[aEndpoint]->Release(std::to_string(aEntry));
    mWallets[aEntry]->Release(mPool.mEndpoints[aEndpoint].mAddress);
    mCapacities[aEndpoint]->HandleCompletion(50ms);
  }

  void Tick() override
  {
    for (int i = 0; i < kEndpoints; ++i) {
      mLedgers[i]->SetCapacity(mCapacities[i]->ConcurrencyLimit());
      for (int entry = 0; entry < kEntries; ++entry) {
        Renew(entry, i);
      }
    }
  }

  void Restart(int aEndpoint) override
  {
    ++mIncarnations[aEndpoint];
    Report(aEndpoint);
    mLedgers[aEndpoint]->SetCapacity(
      mCapacities[aEndpoint]->ConcurrencyLimit());
  }

private:
  static void Warm(credits::EndpointCapacity& aCapacity,
                   global::ManualClock& aClock)
  {
    for (int n = 0; n < kWarmBears * kWarmBears * 4; ++n) {
      aClock.Advance(10ms);
      aCapacity.HandleCompletion(50ms);
    }
  }

  void Report(int aEndpoint)
  {
    mCapacities[aEndpoint]->HandleReport(
      { std::to_string(mIncarnations[aEndpoint]), -1, true });
  }

  void Renew(int aEntry, int aEndpoint)
  {
    const std::string& address = mPool.mEndpoints[aEndpoint].mAddress;
    const auto state = mWallets[aEntry]->States().find(address);
    const int inUse =
      state == mWallets[aEntry]->States().end() ? 0 : state->second.mInUse;
    const auto lease = mLedgers[aEndpoint]->Renew(
      std::to_string(aEntry), { inUse, inUse > 0 ? inUse + 1 : 0 });
    mWallets[aEntry]->SetLease(address,
                               lease,
                               std::max(0,
                                        mLedgers[aEndpoint]->Capacity() -
                                          mLedgers[aEndpoint]->Committed()),
                               mLedgers[aEndpoint]->Capacity());
  }

  const global::IClock& mClock;
  const configuration::Pool& mPool;
  configuration::VmList mVms;
  std::vector<std::unique_ptr<credits::LeaseTable>> mWallets;
  std::vector<std::unique_ptr<credits::LeaseManager>> mLedgers;
  std::vector<std::unique_ptr<credits::EndpointCapacity>> mCapacities;
  std::vector<int> mIncarnations;
};

/** What a caller of an entry notices, and what endpoints suffer. */
struct Figures
{
  int mRequests = 0;
  int mGivenUp = 0;
  int mLate = 0;
  int mIntoZoneAfterPromise = 0;
  int mOverloads = 0;
  int mLargestOverload = 0;
  double mLastWorkSeconds = 0;
  double mEvenSeconds = 0;
  std::vector<double> mWaits;
};

class Run
{
public:
  Run(global::ManualClock& aClock,
      const configuration::Pool& aPool,
      IPolicy& aPolicy,
      double aRequestsPerSecond)
    : mClock(aClock)
    , mPolicy(aPolicy)
    , mArrivals(aRequestsPerSecond *
                std::chrono::duration<double>(kTick).count())
    , mRandom(kSeed)
    , mStart(aClock.Now())
  {
    for (const auto& endpoint : aPool.mEndpoints) {
      mBackEnds.push_back({ endpoint.mAvailabilityZone });
    }
    mTables = std::make_shared<configuration::Tables>();
    mKnown = mTables;
  }

  Figures Go()
  {
    for (auto now = 0ms; now < kEnd; now += kTick) {
      mNow = now;
      Publish();
      if (now % 50ms == 0ms) {
        mPolicy.Tick();
      }
      EndJobs();
      Arrive();
      TryJobs();
      mClock.Advance(kTick);
    }
    for (const FakeBackEnd& backEnd : mBackEnds) {
      mFigures.mOverloads += backEnd.mOverloads;
      mFigures.mLargestOverload =
        std::max(mFigures.mLargestOverload, backEnd.mLargestOverload);
    }
    return mFigures;
  }

private:
  void Publish()
  {
    if (mNow == kLeave) {
      mTables = mTables->With({ { "out/zone/az-0", "true", 2, false } }, 2);
      mSpread = mNow + 100ms;
    } else if (mNow == kReturn) {
      mTables = mTables->With({ { "out/zone/az-0", "", 3, true } }, 3);
      mSpread = mNow + 100ms;
      // Engines of the zone were stopped and have started anew.
      for (int i = 0; i < kEndpoints; i += 3) {
        mBackEnds[i].mServed = 0;
        mPolicy.Restart(i);
      }
    }
    if (mNow == mSpread) {
      mKnown = mTables;
    }
  }

  void Arrive()
  {
    std::poisson_distribution<int> count(mArrivals);
    for (int n = count(mRandom); n > 0; --n) {
      ++mFigures.mRequests;
      mWaiting.push_back({ mClock.Now(),
                           mClock.Now(),
                           {},
                           static_cast<int>(mRandom() % kEntries),
                           -1 });
    }
  }

  void TryJobs()
  {
    std::deque<Job> still;
    for (Job& job : mWaiting) {
      if (mClock.Now() - job.mSince > kGiveUp) {
        ++mFigures.mGivenUp;
      } else if (mClock.Now() < job.mNextTry || !TryJob(job)) {
        still.push_back(job);
      }
    }
    mWaiting.swap(still);
  }

  bool TryJob(Job& aJob)
  {
    const int endpoint =
      mPolicy.Choose(aJob.mEntry, *mKnown, std::to_string(mKeys()));
    if (endpoint < 0 || !mPolicy.Admit(aJob.mEntry, endpoint, *mTables)) {
      aJob.mNextTry = mClock.Now() + kRetryWait;
      return false;
    }
    FakeBackEnd& backEnd = mBackEnds[endpoint];
    backEnd.Begin();
    NoteZone(backEnd);
    // An endpoint that holds too much serves all of its requests slower.
    const int factor = std::max(1,
                                1 + 3 * (backEnd.mRunning - backEnd.Bears()) /
                                      std::max(1, backEnd.Bears()));
    const auto wait = mClock.Now() - aJob.mSince;
    const auto firstToken = wait + 100ms * factor;
    mFigures.mLate += firstToken > kLateFirstToken;
    mFigures.mWaits.push_back(
      std::chrono::duration<double, std::milli>(firstToken).count());
    aJob.mEndpoint = endpoint;
    aJob.mEnd = mClock.Now() + kServiceTime * factor;
    mRunning.push_back(aJob);
    return true;
  }

  void NoteZone(const FakeBackEnd& aBackEnd)
  {
    const bool isOut = mNow >= kLeave && mNow < kReturn;
    if (aBackEnd.mZone == "az-0" && isOut) {
      mFigures.mLastWorkSeconds =
        std::chrono::duration<double>(mNow - kLeave).count();
      mFigures.mIntoZoneAfterPromise += mNow > kLeave + 3s;
    }
    if (aBackEnd.mZone == "az-0" && mNow >= kReturn &&
        mFigures.mEvenSeconds == 0) {
      int zone = 0;
      int all = 0;
      for (const FakeBackEnd& backEnd : mBackEnds) {
        all += backEnd.mRunning;
        zone += backEnd.mZone == "az-0" ? backEnd.mRunning : 0;
      }
      if (zone * 3 >= all * 0.9) {
        mFigures.mEvenSeconds =
          std::chrono::duration<double>(mNow - kReturn).count();
      }
    }
  }

  void EndJobs()
  {
    std::vector<Job> still;
    for (const Job& job : mRunning) {
      if (mClock.Now() < job.mEnd) {
        still.push_back(job);
        continue;
      }
      --mBackEnds[job.mEndpoint].mRunning;
      ++mBackEnds[job.mEndpoint].mServed;
      mPolicy.End(job.mEntry, job.mEndpoint, job.mEnd - job.mSince);
    }
    mRunning.swap(still);
  }

  global::ManualClock& mClock;
  IPolicy& mPolicy;
  const double mArrivals;
  std::mt19937 mRandom;
  std::mt19937 mKeys{ kSeed + 1 };
  const global::TimePoint mStart;
  std::chrono::milliseconds mNow{ 0 };
  std::chrono::milliseconds mSpread{ -1 };
  std::shared_ptr<const configuration::Tables> mTables;
  std::shared_ptr<const configuration::Tables> mKnown;
  std::vector<FakeBackEnd> mBackEnds;
  std::deque<Job> mWaiting;
  std::vector<Job> mRunning;
  Figures mFigures;
};

configuration::Pool
MakePool()
{
  configuration::Pool pool{ .mName = "experts" };
  for (int i = 0; i < kEndpoints; ++i) {
    pool.mEndpoints.push_back({ "vm-" + std::to_string(i),
                                "az-" + std::to_string(i % 3),
                                "10.0.0.1:" + std::to_string(i) });
  }
  return pool;
}

void
Measure(const std::string& aName,
        global::ManualClock& aClock,
        const configuration::Pool& aPool,
        IPolicy& aPolicy,
        double aLoad)
{
  const double rate = aLoad * kEndpoints * kWarmBears /
                      std::chrono::duration<double>(kServiceTime).count();
  Figures figures = Run(aClock, aPool, aPolicy, rate).Go();
  benchmarks::Report(
    "az-change",
    kSeed,
    { { "policy", aName },
      { "load", aLoad },
      { "requests", figures.mRequests },
      { "givenUp", figures.mGivenUp },
      { "lateFirstTokens", figures.mLate },
      { "firstTokenP95Milliseconds",
        benchmarks::Rounded(benchmarks::Quantile(figures.mWaits, 0.95)) },
      { "lastNewWorkSeconds", benchmarks::Rounded(figures.mLastWorkSeconds) },
      { "intoZoneAfterThreeSeconds", figures.mIntoZoneAfterPromise },
      { "evenAgainSeconds", benchmarks::Rounded(figures.mEvenSeconds) },
      { "overloads", figures.mOverloads },
      { "largestOverload", figures.mLargestOverload } });
}

}

int
main()
{
  const configuration::Pool pool = MakePool();
  for (const double load : { 0.3, 0.5, 0.6 }) {
    global::ManualClock clock;
    RoundRobin roundRobin(pool);
    Measure("round robin", clock, pool, roundRobin, load);
    LeastOutstanding leastOutstanding(pool);
    Measure("least outstanding", clock, pool, leastOutstanding, load);
    Credits withCredits(clock, pool);
    Measure("credits", clock, pool, withCredits, load);
  }
  return 0;
}
