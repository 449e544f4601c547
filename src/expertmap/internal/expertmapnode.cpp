#include "expertmap/internal/expertmapnode.h"

#include "expertmap/internal/messages.h"
#include "framework/global/identifiers.h"
#include "framework/log/log.h"

#include <algorithm>
#include <random>

namespace beryllever::expertmap {

namespace {

constexpr char kLogTag[] = "expertmap";
constexpr std::chrono::milliseconds kTick{ 100 };
/** Orders that an earlier agent has written may reach the engine until then. */
constexpr std::chrono::milliseconds kDrainTime{ 300 };
/** Each rank waits this much longer than the one before it to take over. */
constexpr std::chrono::milliseconds kTakeoverTime{ 1000 };
constexpr std::chrono::milliseconds kFirstLeadTime{ 300 };

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
  , mEngine(mManager, mSettings->BackEnd())
  , mIncarnation(global::NewIncarnation())
  , mReadDeadline(aClock.Now() + kDrainTime)
  , mLeadDeadline(aClock.Now())
{
}

void
ExpertMapNode::Start()
{
  mConfiguration->Subscribe([this] { TakeConfiguration(); });
  TakeConfiguration();
  QObject::connect(&mTimer, &QTimer::timeout, &mTimer, [this] { Tick(); });
  mTimer.start(kTick);
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
           { "preparedMap", mPrepared },
           { "epoch", mLease ? mLease->Promised().mCounter : 0 },
           { "lead", mLeadership ? mLeadership->StateText() : "no" } };
}

v1::PromiseReply
ExpertMapNode::TakePromise(const v1::PromiseRequest& aRequest)
{
  v1::PromiseReply reply;
  if (!mLease || aRequest.group() != mView.mGroup || aRequest.rank() != mRank) {
    return reply;
  }
  const bool isQuestion = aRequest.incarnations().empty();
  if (isQuestion) {
    reply.set_incarnation(mIncarnation);
    *reply.mutable_promised() = ToMessage(mLease->Promised());
    // The engine refuses orders below the number that it took from an earlier
    // agent.
    reply.mutable_promised()->set_counter(
      std::max(mLease->Promised().mCounter, mFence));
  } else {
    reply = ToMessage(mLease->HandlePromiseRequest(FromMessage(aRequest)));
  }
  if (reply.is_promised()) {
    PostponeLead(kTakeoverTime);
  }
  reply.set_current_step(mStep);
  return reply;
}

void
ExpertMapNode::TakeGrant(const v1::GrantRequest& aRequest, OnGranted aOnGranted)
{
  const bool isForThis =
    mLease && aRequest.group() == mView.mGroup && aRequest.rank() == mRank;
  if (!isForThis || !mLease->HandleGrantRequest(FromMessage(aRequest))) {
    aOnGranted(MakeGrantReply(false));
    return;
  }
  PostponeLead(kTakeoverTime);
  if (const auto map = aRequest.prepare_map();
      map > 0 && map != mPrepared && map != mPreparing) {
    mPreparing = map;
    mEngine.Prepare(map);
  }
  mLease->TrimBefore(mStep);
  mEngine.Order(mLease->Granted(),
                aRequest.epoch().counter(),
                [this, aOnGranted](const std::optional<EngineState>& aState) {
                  TakeEngineState(aState);
                  aOnGranted(MakeGrantReply(aState.has_value()));
                });
}

void
ExpertMapNode::TakeConfiguration()
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
             .mWantedMap = pool->mExpertMap };
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
    mLeadership->SetWantedMap(mView.mWantedMap);
  }
}

void
ExpertMapNode::ReadEngine()
{
  if (std::exchange(mIsReading, true)) {
    return;
  }
  mEngine.Read([this](const std::optional<EngineState>& aState) {
    mIsReading = false;
    TakeEngineState(aState);
    const bool isMember =
      mRank >= 0 && static_cast<size_t>(mRank) < mView.mAddresses.size();
    if (aState && !mLease && isMember) {
      mLease.emplace(
        mRank, mView.mAddresses.size(), mIncarnation, aState->mSchedule);
      PostponeLead(kFirstLeadTime);
    }
  });
}

void
ExpertMapNode::TakeEngineState(const std::optional<EngineState>& aState)
{
  if (!aState) {
    return;
  }
  mStep = aState->mStep;
  mPrepared = aState->mPrepared;
  mFence = std::max(mFence, aState->mFence);
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
    PostponeLead(kTakeoverTime);
  }
  if (!mLeadership && IsLeadDue()) {
    LOGI("Trying to lead the group. group=" << mView.mGroup);
    mLeadership = std::make_unique<Leadership>(
      mClock, mView, mSettings->VmName(), mIncarnation);
  }
  if (mLeadership) {
    mLeadership->Tick();
  }
}

bool
ExpertMapNode::IsLeadDue() const
{
  return mClock.Now() >= mLeadDeadline;
}

void
ExpertMapNode::PostponeLead(std::chrono::milliseconds aBase)
{
  // Jitter parts leads that would stand in each other's way for ever.
  thread_local std::mt19937 sRandom{ std::random_device{}() };
  std::uniform_int_distribution<int64_t> jitter(0, kTakeoverTime.count() / 2);
  mLeadDeadline = mClock.Now() + aBase + kTakeoverTime * mRank +
                  std::chrono::milliseconds(jitter(sRandom));
}

v1::GrantReply
ExpertMapNode::MakeGrantReply(bool aIsAccepted) const
{
  v1::GrantReply reply;
  reply.set_is_accepted(aIsAccepted);
  reply.set_current_step(mStep);
  reply.set_prepared_map(mPrepared);
  reply.set_incarnation(mIncarnation);
  if (mLease) {
    *reply.mutable_promised() = ToMessage(mLease->Promised());
  }
  return reply;
}

}
