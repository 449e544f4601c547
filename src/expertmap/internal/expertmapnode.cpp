#include "expertmap/internal/expertmapnode.h"

#include "expertmap/internal/messages.h"
#include "framework/global/identifiers.h"
#include "framework/log/log.h"

#include <algorithm>
#include <random>

namespace beryllever::expertmap {

namespace {

constexpr char kLogTag[] = "expertmap";
constexpr std::chrono::milliseconds kTickInterval{ 100 };
/** Delay before the first read of the engine: requests of a previous agent
 * process may still reach the engine within this time. */
constexpr std::chrono::milliseconds kInitialReadDelay{ 300 };
/** Base delay before a rank takes over the lead; each rank waits this much
 * longer than the previous one. */
constexpr std::chrono::milliseconds kTakeoverDelay{ 1000 };
constexpr std::chrono::milliseconds kInitialTakeoverDelay{ 300 };

}

ExpertMapNode::ExpertMapNode(
  const global::IClock& aClock,
  std::shared_ptr<configuration::IProcessSettings> aSettings,
  std::shared_ptr<configuration::IConfiguration> aConfiguration,
  metrics::Metrics& aMetrics)
  : mClock(aClock)
  , mSettings(std::move(aSettings))
  , mConfiguration(std::move(aConfiguration))
  , mMetrics(aMetrics)
  , mEngine(mSettings->BackEnd())
  , mIncarnation(global::NewIncarnation())
  , mReadDeadline(aClock.Now() + kInitialReadDelay)
  , mTakeoverDeadline(aClock.Now())
{
}

void
ExpertMapNode::Start()
{
  mConfiguration->Subscribe([this] { ApplyConfiguration(); });
  ApplyConfiguration();
  QObject::connect(&mTimer, &QTimer::timeout, &mTimer, [this] { Tick(); });
  mTimer.start(kTickInterval);
}

settings::Json
ExpertMapNode::Status() const
{
  if (mRank < 0) {
    return { { "group", "" } };
  }
  return { { "group", mView.mGroup },
           { "rank", mRank },
           { "step", mStep },
           { "horizon", mLease ? mLease->Granted().Horizon() : 0 },
           { "map", mLease ? mLease->Granted().MapAt(mStep).value_or(0) : 0 },
           { "preparedMap", mPreparedMap },
           { "epoch", mLease ? mLease->Promised().mCounter : 0 },
           { "lead", mLeadership ? mLeadership->StateName() : "no" } };
}

v1::PromiseReply
ExpertMapNode::HandlePromise(const v1::PromiseRequest& aRequest)
{
  v1::PromiseReply reply;
  if (!mLease || aRequest.group() != mView.mGroup || aRequest.rank() != mRank) {
    return reply;
  }
  const bool isQuery = aRequest.incarnations().empty();
  if (isQuery) {
    reply.set_incarnation(mIncarnation);
    *reply.mutable_promised() = ToMessage(mLease->Promised());
    // The engine refuses requests with a lower fencing number than the one it
    // accepted from a previous agent process.
    reply.mutable_promised()->set_counter(
      std::max(mLease->Promised().mCounter, mFencingNumber));
  } else {
    reply = ToMessage(mLease->HandlePromiseRequest(FromMessage(aRequest)));
  }
  if (reply.is_promised()) {
    PostponeTakeover(kTakeoverDelay);
  }
  reply.set_current_step(mStep);
  return reply;
}

void
ExpertMapNode::HandleGrant(const v1::GrantRequest& aRequest,
                           OnGranted aOnGranted)
{
  const bool isAddressedHere =
    mLease && aRequest.group() == mView.mGroup && aRequest.rank() == mRank;
  if (!isAddressedHere || !mLease->HandleGrantRequest(FromMessage(aRequest))) {
    aOnGranted(MakeGrantReply(false));
    return;
  }
  PostponeTakeover(kTakeoverDelay);
  if (const auto map = aRequest.prepare_map();
      map > 0 && map != mPreparedMap && map != mPreparingMap) {
    mPreparingMap = map;
    mEngine.PrepareMap(map);
  }
  mLease->TrimBefore(mStep);
  mEngine.SetSchedule(
    mLease->Granted(),
    aRequest.epoch().counter(),
    [this, aOnGranted](const std::optional<EngineState>& aState) {
      HandleEngineState(aState);
      aOnGranted(MakeGrantReply(aState.has_value()));
    });
}

void
ExpertMapNode::ApplyConfiguration()
{
  GroupView view;
  int rank = -1;
  const auto tables = mConfiguration->CurrentTables();
  for (const auto& [name, pool] : tables->Pools()) {
    const auto own =
      std::find_if(pool->mEndpoints.begin(),
                   pool->mEndpoints.end(),
                   [&](const auto& aEndpoint) {
                     return aEndpoint.mAddress == mSettings->PeerAddress() &&
                            !aEndpoint.mGroup.empty();
                   });
    if (own == pool->mEndpoints.end()) {
      continue;
    }
    rank = own->mRank;
    std::map<int, std::string> members;
    for (const configuration::Endpoint& endpoint : pool->mEndpoints) {
      if (endpoint.mGroup == own->mGroup) {
        members[endpoint.mRank] = endpoint.mAddress;
      }
    }
    view = { .mGroup = name + "/" + own->mGroup,
             .mConfiguredMap = pool->mExpertMap };
    for (const auto& [number, address] : members) {
      view.mAddresses.push_back(address);
    }
  }
  const bool isSameGroup = view.mGroup == mView.mGroup &&
                           view.mAddresses == mView.mAddresses && rank == mRank;
  mView = std::move(view);
  mRank = rank;
  if (!isSameGroup) {
    mLease.reset();
    mLeadership.reset();
  } else if (mLeadership) {
    mLeadership->SetConfiguredMap(mView.mConfiguredMap);
  }
}

void
ExpertMapNode::ReadEngine()
{
  if (std::exchange(mIsReading, true)) {
    return;
  }
  mEngine.ReadState([this](const std::optional<EngineState>& aState) {
    mIsReading = false;
    HandleEngineState(aState);
    const bool isMember =
      mRank >= 0 && static_cast<size_t>(mRank) < mView.mAddresses.size();
    if (aState && !mLease && isMember) {
      mLease.emplace(
        mRank, mView.mAddresses.size(), mIncarnation, aState->mSchedule);
      PostponeTakeover(kInitialTakeoverDelay);
    }
  });
}

void
ExpertMapNode::HandleEngineState(const std::optional<EngineState>& aState)
{
  if (!aState) {
    return;
  }
  mStep = aState->mStep;
  mPreparedMap = aState->mPreparedMap;
  mFencingNumber = std::max(mFencingNumber, aState->mFencingNumber);
  mMetrics.Set("beryllever_group_step", static_cast<double>(mStep));
}

void
ExpertMapNode::Tick()
{
  if (mRank < 0) {
    return;
  }
  if (!mLease) {
    if (mClock.Now() >= mReadDeadline) {
      ReadEngine();
    }
    return;
  }
  if (mLeadership && mLeadership->IsOver()) {
    mLeadership.reset();
    PostponeTakeover(kTakeoverDelay);
  }
  if (!mLeadership && IsTakeoverDue()) {
    LOGI("Trying to become leader of the group. group=" << mView.mGroup);
    mLeadership = std::make_unique<Leadership>(
      mClock, mView, mSettings->VmName(), mIncarnation);
  }
  if (mLeadership) {
    mLeadership->Tick();
  }
}

bool
ExpertMapNode::IsTakeoverDue() const
{
  return mClock.Now() >= mTakeoverDeadline;
}

void
ExpertMapNode::PostponeTakeover(std::chrono::milliseconds aBase)
{
  // Random jitter keeps competing leaders from preempting each other forever.
  thread_local std::mt19937 sRandom{ std::random_device{}() };
  std::uniform_int_distribution<int64_t> jitter(0, kTakeoverDelay.count() / 2);
  mTakeoverDeadline = mClock.Now() + aBase + kTakeoverDelay * mRank +
                      std::chrono::milliseconds(jitter(sRandom));
}

v1::GrantReply
ExpertMapNode::MakeGrantReply(bool aIsAccepted) const
{
  v1::GrantReply reply;
  reply.set_is_accepted(aIsAccepted);
  reply.set_current_step(mStep);
  reply.set_prepared_map(mPreparedMap);
  reply.set_incarnation(mIncarnation);
  if (mLease) {
    *reply.mutable_promised() = ToMessage(mLease->Promised());
  }
  return reply;
}

}
