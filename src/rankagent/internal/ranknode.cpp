#include "rankagent/internal/ranknode.h"

#include "framework/global/identifiers.h"
#include "framework/log/log.h"
#include "transport/post.h"

#include <algorithm>

namespace beryllever::rankagent {

namespace {

using std::chrono::milliseconds;

constexpr char kLogTag[] = "rank";
constexpr milliseconds kReadInterval{ 100 };
/** Longest time that a stop waits for a change of the map. Longer than a change
 * takes, unless ranks do not answer; well within the grace time. */
constexpr milliseconds kMaxStopTime{ 3000 };

mesh::Member
SelfMember(const configuration::IProcessSettings& aSettings)
{
  return { .mVm = aSettings.VmName(),
           .mRole = aSettings.Role(),
           .mIncarnation = global::NewIncarnation(),
           .mPeerAddress = aSettings.PeerAddress(),
           .mAvailabilityZone = aSettings.AvailabilityZone() };
}

}

RankNode::RankNode(const global::IClock& aClock,
                   const configuration::IProcessSettings& aSettings,
                   std::shared_ptr<published::IRecordCodec> aRecords,
                   std::shared_ptr<IEngineCodec> aCodec,
                   metrics::Metrics& aMetrics)
  : mClock(aClock)
  , mEndpointAddress(aSettings.Site().mEndpointAddress)
  , mRecordCodec(std::move(aRecords))
  , mEngineCodec(std::move(aCodec))
  , mPublishedState(*mRecordCodec, aClock)
  , mMesh(aClock, SelfMember(aSettings), aSettings.Seeds(), aMetrics)
  , mEngine(net::ParseTcpAddress(mEndpointAddress), *mEngineCodec)
  , mAgents(mMesh)
  , mPeerEngines(aClock, *mEngineCodec)
  , mLeader(aClock, *this, aMetrics)
  , mStallDetector(aClock)
  , mService(std::make_shared<RankService>(&mContext, *this))
{
  mMesh.SetListener(*this);
  QObject::connect(&mTimer, &QTimer::timeout, &mTimer, [this] { ReadState(); });
}

std::vector<std::shared_ptr<grpc::Service>>
RankNode::Services() const
{
  return { mMesh.Service(), mService };
}

void
RankNode::Start()
{
  mMesh.Start();
  mTimer.start(kReadInterval);
  mLeader.Start();
}

void
RankNode::BeginStop()
{
  mStopDeadline = mClock.Now() + kMaxStopTime;
  mLeader.BeginStop();
  LOGI("The agent is told to stop. changesMap=" << !mLeader.IsIdle());
}

bool
RankNode::IsIdle() const
{
  if (mLeader.IsIdle()) {
    return true;
  }
  if (mClock.Now() < mStopDeadline) {
    return false;
  }
  LOGW("The agent stops in the middle of a change of the map.");
  return true;
}

void
RankNode::Stop()
{
  mTimer.stop();
  mLeader.Stop();
  mMesh.Stop();
}

void
RankNode::Reload(const configuration::IProcessSettings& aSettings)
{
  mMesh.SetSeeds(aSettings.Seeds());
}

settings::Json
RankNode::Status() const
{
  settings::Json status{ { "endpointAddress", mEndpointAddress },
                         { "publishedRevision",
                           mPublishedState.Position().mRevision },
                         { "publishedEra", mPublishedState.Position().mEra } };
  if (mRankState) {
    status["group"] = mRankState->mGroup;
    status["epoch"] = mRankState->mEpoch;
    status["rank"] = mRankState->mRank;
    status["mapVersion"] = mRankState->mMapVersion;
  }
  return status;
}

mesh::RecordBatch
RankNode::RecordsSince(const mesh::StorePosition& aPosition) const
{
  return mPublishedState.RecordsSince(aPosition);
}

mesh::StorePosition
RankNode::PublishedPosition() const
{
  return mPublishedState.Position();
}

void
RankNode::HandleRecords(const mesh::RecordBatch& aBatch)
{
  mPublishedState.Apply(aBatch);
  const auto snapshot = mPublishedState.Current();
  const net::TcpAddress own = net::ParseTcpAddress(mEndpointAddress);
  for (const auto& [id, endpoint] : snapshot->AllEndpoints()) {
    const published::Pool* pool = snapshot->FindPool(endpoint.mPool);
    if (endpoint.mAddress == own && pool != nullptr && pool->mEngine) {
      mLeader.SetEngine(*pool->mEngine);
    }
  }
}

void
RankNode::ReadState()
{
  mPublishedState.ExpireRemovals();
  if (mIsReading) {
    return;
  }
  mIsReading = true;
  mStallDetector.RecordReadStart();
  mEngine.ReadState([this](const std::optional<RankState>& aState) {
    mIsReading = false;
    HandleState(aState);
  });
}

void
RankNode::HandleState(const std::optional<RankState>& aState)
{
  if (mRankState.has_value() != aState.has_value()) {
    LOGI("The engine " << (aState ? "answers." : "does not answer."));
  }
  mRankState = aState;
  DetectStall();
  mPeers.clear();
  auto& load = mMesh.Members().Self().mLoad;
  load.reset();
  if (mRankState) {
    UpdatePeers();
    mLeader.SetRank(*mRankState);
    const bool takesWork = mRankState->mIsOpen && !mStallDetector.IsStalled();
    load = mesh::EndpointLoad{ mEndpointAddress,  mRankState->mRequests,
                               takesWork,         mRankState->mGroup,
                               mRankState->mRank, mRankState->mSize,
                               mLeader.MayLead(), mRankState->mPace };
  }
}

void
RankNode::DetectStall()
{
  if (!mRankState) {
    mStallDetector.Reset();
    return;
  }
  const bool wasStalled = mStallDetector.IsStalled();
  mStallDetector.HandleState(*mRankState);
  if (mStallDetector.IsStalled() == wasStalled) {
    return;
  }
  LOGI("The group " << (wasStalled ? "takes work again." : "takes no work.")
                    << " group=" << mRankState->mGroup << " rank="
                    << mRankState->mRank << " step=" << mRankState->mStep
                    << " held=" << mRankState->mHeldStep << " requests="
                    << mRankState->mRequests << " timeoutMilliseconds="
                    << mStallDetector.Timeout().count());
}

void
RankNode::UpdatePeers()
{
  mPeers.clear();
  for (const mesh::Member& member :
       mMesh.Members().AliveWithRole(mesh::kRankAgentRole)) {
    if (member.mLoad && member.mLoad->mGroup == mRankState->mGroup) {
      mPeers[member.mLoad->mRank] = { member.mPeerAddress,
                                      member.mAvailabilityZone,
                                      member.mLoad->mMayLead,
                                      member.mLoad->mRequests };
      mPeerEngines.SetEngineAddress(member.mLoad->mRank,
                                    member.mLoad->mEndpointAddress);
    }
  }
}

std::vector<uint32_t>
RankNode::LiveRanks() const
{
  std::vector<uint32_t> ranks;
  for (const auto& [rank, peer] : mPeers) {
    ranks.push_back(rank);
  }
  return ranks;
}

std::vector<uint32_t>
RankNode::EligibleRanks() const
{
  std::vector<uint32_t> ranks;
  for (const auto& [rank, peer] : mPeers) {
    if (peer.mMayLead) {
      ranks.push_back(rank);
    }
  }
  return ranks;
}

std::vector<uint32_t>
RankNode::RanksToCount() const
{
  const std::string& ownZone = mMesh.Members().Self().mAvailabilityZone;
  std::vector<RankActivity> ranks;
  if (mRankState) {
    ranks.push_back({ mRankState->mRank, ownZone, mRankState->mRequests });
  }
  for (const auto& [rank, peer] : mPeers) {
    ranks.push_back({ rank, peer.mAvailabilityZone, peer.mRequests });
  }
  return OrderForCounting(ranks, ownZone);
}

std::string
RankNode::AgentAddress(uint32_t aRank) const
{
  const auto it = mPeers.find(aRank);
  return it == mPeers.end() ? "" : it->second.mAddress;
}

void
RankNode::Sample(uint32_t aRank, SampleDepth aDepth, OnSample aOnSample)
{
  if (mRankState && mRankState->mRank == aRank) {
    SampleLocal(aDepth, std::move(aOnSample));
    return;
  }
  const std::string address = AgentAddress(aRank);
  if (address.empty() || mPeerEngines.IsAgentBypassed(aRank)) {
    transport::Post(&mContext, [this, aRank, aDepth, aOnSample] {
      mPeerEngines.Sample(aRank, aDepth, aOnSample);
    });
    return;
  }
  mAgents.Sample(address,
                 aDepth,
                 [this, aRank, aDepth, aOnSample](
                   const std::optional<std::optional<RankSample>>& aReply) {
                   if (aReply) {
                     aOnSample(*aReply);
                     return;
                   }
                   mPeerEngines.BypassAgent(aRank);
                   mPeerEngines.Sample(aRank, aDepth, aOnSample);
                 });
}

void
RankNode::Order(uint32_t aRank, const RankOrder& aOrder, OnOutcome aOnOutcome)
{
  if (mRankState && mRankState->mRank == aRank) {
    OrderLocal(aOrder, std::move(aOnOutcome));
    return;
  }
  const std::string address = AgentAddress(aRank);
  if (address.empty() || mPeerEngines.IsAgentBypassed(aRank)) {
    transport::Post(&mContext, [this, aRank, aOrder, aOnOutcome] {
      mPeerEngines.Order(aRank, aOrder, aOnOutcome);
    });
    return;
  }
  mAgents.Order(
    address,
    aOrder,
    [this, aRank, aOnOutcome](bool aIsAnswered, OrderOutcome aOutcome) {
      if (!aIsAnswered) {
        mPeerEngines.BypassAgent(aRank);
      }
      aOnOutcome(aOutcome);
    });
}

void
RankNode::OrderAgent(const std::string& aAgent,
                     const RankOrder& aOrder,
                     OnOutcome aOnOutcome)
{
  mAgents.OrderAsRelay(
    aAgent, aOrder, [aOnOutcome](bool, OrderOutcome aOutcome) {
      aOnOutcome(aOutcome);
    });
}

void
RankNode::OrderAll(const RankOrder& aOrder, OnRankOutcome aOnOutcome)
{
  std::map<std::string, std::vector<uint32_t>> relayed;
  for (uint32_t rank = 0; mRankState && rank < mRankState->mSize; ++rank) {
    const auto it = mPeers.find(rank);
    if (it == mPeers.end() || mPeerEngines.IsAgentBypassed(rank)) {
      Order(rank, aOrder, [rank, aOnOutcome](OrderOutcome aOutcome) {
        aOnOutcome(rank, aOutcome);
      });
      continue;
    }
    relayed[it->second.mAvailabilityZone].push_back(rank);
  }
  for (const RelayGroup& group : PlanRelays(relayed)) {
    Relay(group, aOrder, aOnOutcome);
  }
}

void
RankNode::Relay(const RelayGroup& aGroup,
                const RankOrder& aOrder,
                OnRankOutcome aOnOutcome)
{
  std::vector<std::string> agents;
  for (const uint32_t rank : aGroup) {
    agents.push_back(AgentAddress(rank));
  }
  mAgents.Relay(
    agents,
    aOrder,
    [this, aGroup, aOnOutcome](bool aIsAnswered,
                               const std::vector<OrderOutcome>& aOutcomes) {
      if (!aIsAnswered) {
        mPeerEngines.BypassAgent(aGroup.front());
      }
      for (size_t i = 0; i < aGroup.size(); ++i) {
        aOnOutcome(aGroup[i], aOutcomes[i]);
      }
    });
}

void
RankNode::OrderLocal(const RankOrder& aOrder, OnOutcome aOnOutcome)
{
  if (aOrder.mOperation == RankOperation::Prepare) {
    mMaps.Add({ aOrder.mEpoch, aOrder.mVersion, aOrder.mMap });
  }
  mEngine.Order(aOrder, std::move(aOnOutcome));
}

void
RankNode::SampleLocal(SampleDepth aDepth, OnSample aOnSample)
{
  mEngine.ReadState(
    [this, aDepth, aOnSample](const std::optional<RankState>& aState) {
      if (!aState) {
        aOnSample(std::nullopt);
        return;
      }
      RankSample sample{ .mState = *aState };
      if (aDepth == SampleDepth::State) {
        aOnSample(std::move(sample));
        return;
      }
      if (aDepth == SampleDepth::Placement) {
        FinishSample(std::move(sample), aOnSample);
        return;
      }
      mEngine.ReadCounts([this, sample, aOnSample](
                           const std::optional<ExpertCounts>& aCounts) mutable {
        if (aCounts && aCounts->mEpoch == sample.mState.mEpoch) {
          sample.mCounts = aCounts->mCounts;
        }
        FinishSample(std::move(sample), aOnSample);
      });
    });
}

void
RankNode::FinishSample(RankSample aSample, const OnSample& aOnSample)
{
  const bool isKnown = mIsPlacementKnown &&
                       mPlacementEpoch == aSample.mState.mEpoch &&
                       mPlacement.mVersion == aSample.mState.mMapVersion;
  if (isKnown) {
    aSample.mExperts = mPlacement.mExperts;
    aOnSample(std::move(aSample));
    return;
  }
  mEngine.ReadPlacement(
    [this, aSample = std::move(aSample), aOnSample](
      const std::optional<RankPlacement>& aPlacement) mutable {
      mIsPlacementKnown = aPlacement.has_value();
      if (aPlacement) {
        mPlacement = *aPlacement;
        mPlacementEpoch = aSample.mState.mEpoch;
      }
      if (aPlacement && aPlacement->mVersion == aSample.mState.mMapVersion) {
        aSample.mExperts = aPlacement->mExperts;
      }
      aOnSample(std::move(aSample));
    });
}

}
