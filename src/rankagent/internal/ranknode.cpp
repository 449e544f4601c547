#include "rankagent/internal/ranknode.h"

#include "framework/global/identifiers.h"
#include "framework/log/log.h"
#include "transport/unary.h"

#include <algorithm>

namespace beryllever::rankagent {

namespace {

using std::chrono::milliseconds;

constexpr char kLogTag[] = "rank";
constexpr milliseconds kReadInterval{ 100 };
/** Time without a pass after which a group takes no more work: a slow pass is
 * shorter, and callers leave streams that are silent for 2 s. */
constexpr milliseconds kStandstillTime{ 1200 };
/** Time for another agent to read its rank, on a small share of a core. */
constexpr milliseconds kSampleTime{ 400 };
/** Time for another agent to give its rank an order. */
constexpr milliseconds kOrderTime{ 200 };
/** Time for the order that carries a whole map: some kilobytes to each of up to
 * 256 ranks over the lead's link. */
constexpr milliseconds kMapOrderTime{ 2000 };

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
  : mEndpointAddress(aSettings.Site().mEndpointAddress)
  , mRecords(std::move(aRecords))
  , mCodec(std::move(aCodec))
  , mState(*mRecords, aClock)
  , mMesh(aClock, SelfMember(aSettings), aSettings.Seeds(), aMetrics)
  , mEngine(net::ParseTcpAddress(mEndpointAddress), *mCodec)
  , mPeerEngines(aClock, *mCodec)
  , mLeader(aClock, *this, aMetrics)
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
                         { "publishedRevision", mState.Revision() } };
  if (mRank) {
    status["group"] = mRank->mGroup;
    status["epoch"] = mRank->mEpoch;
    status["rank"] = mRank->mRank;
    status["mapVersion"] = mRank->mMapVersion;
  }
  return status;
}

mesh::RecordBatch
RankNode::RecordsSince(uint64_t aRevision) const
{
  return { mState.Revision(), mState.RecordsSince(aRevision) };
}

uint64_t
RankNode::PublishedRevision() const
{
  return mState.Revision();
}

void
RankNode::HandleRecords(const mesh::RecordBatch& aBatch)
{
  mState.ApplyChanges(aBatch.mRecords, aBatch.mRevision);
  const auto snapshot = mState.Current();
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
  if (mIsReading) {
    return;
  }
  mIsReading = true;
  mEngine.ReadState([this](const std::optional<RankState>& aState) {
    mIsReading = false;
    TakeState(aState);
  });
}

void
RankNode::TakeState(const std::optional<RankState>& aState)
{
  if (mRank.has_value() != aState.has_value()) {
    LOGI("The engine " << (aState ? "answers." : "does not answer."));
  }
  mRank = aState;
  auto& load = mMesh.Members().Self().mLoad;
  load.reset();
  if (mRank) {
    mLeader.SetRank(*mRank);
    for (const mesh::Member& member : GroupMembers()) {
      mPeerEngines.Learn(member.mLoad->mRank, member.mLoad->mEndpointAddress);
    }
    const bool takesWork =
      mRank->mIsOpen && !mLeader.HasStoodStill(kStandstillTime);
    load =
      mesh::EndpointLoad{ mEndpointAddress,  mRank->mRequests, takesWork,
                          mRank->mGroup,     mRank->mRank,     mRank->mSize,
                          mLeader.MayLead(), mRank->mPace };
  }
}

std::vector<mesh::Member>
RankNode::GroupMembers() const
{
  std::vector<mesh::Member> members =
    mMesh.Members().AliveWithRole(mesh::kRankAgentRole);
  std::erase_if(members, [this](const mesh::Member& aMember) {
    return !mRank || !aMember.mLoad || aMember.mLoad->mGroup != mRank->mGroup;
  });
  return members;
}

std::vector<uint32_t>
RankNode::LiveRanks() const
{
  std::vector<uint32_t> ranks;
  for (const mesh::Member& member : GroupMembers()) {
    ranks.push_back(member.mLoad->mRank);
  }
  return ranks;
}

std::vector<uint32_t>
RankNode::LiveLeads() const
{
  std::vector<uint32_t> ranks;
  for (const mesh::Member& member : GroupMembers()) {
    if (member.mLoad->mMayLead) {
      ranks.push_back(member.mLoad->mRank);
    }
  }
  return ranks;
}

std::vector<uint32_t>
RankNode::NearRanks() const
{
  std::vector<uint32_t> ranks;
  if (mRank) {
    ranks.push_back(mRank->mRank);
  }
  std::vector<uint32_t> far;
  const std::string& ownZone = mMesh.Members().Self().mAvailabilityZone;
  for (const mesh::Member& member : GroupMembers()) {
    const bool isNear = member.mAvailabilityZone == ownZone;
    (isNear ? ranks : far).push_back(member.mLoad->mRank);
  }
  ranks.insert(ranks.end(), far.begin(), far.end());
  return ranks;
}

std::string
RankNode::AgentOf(uint32_t aRank) const
{
  for (const mesh::Member& member : GroupMembers()) {
    if (member.mLoad->mRank == aRank) {
      return member.mPeerAddress;
    }
  }
  return "";
}

void
RankNode::Sample(uint32_t aRank, SampleDepth aDepth, OnSample aOnSample)
{
  if (mRank && mRank->mRank == aRank) {
    SampleOwn(aDepth, std::move(aOnSample));
    return;
  }
  const std::string address = AgentOf(aRank);
  if (address.empty() || mPeerEngines.IsAgentSilent(aRank)) {
    transport::Post(&mContext, [this, aRank, aDepth, aOnSample] {
      mPeerEngines.Sample(aRank, aDepth, aOnSample);
    });
    return;
  }
  const auto stub = std::shared_ptr<mesh::v1::RankControl::Stub>(
    mesh::v1::RankControl::NewStub(mMesh.ChannelTo(address)));
  mesh::v1::SampleRequest request;
  request.set_wants_counts(aDepth == SampleDepth::Counts);
  request.set_wants_placement(aDepth != SampleDepth::State);
  transport::CallUnary<mesh::v1::SampleRequest, mesh::v1::SampleReply>(
    &mContext,
    std::move(request),
    std::chrono::system_clock::now() + kSampleTime,
    [stub](auto* aContext, auto* aRequest, auto* aReply, auto aOnEnd) {
      stub->async()->Sample(aContext, aRequest, aReply, std::move(aOnEnd));
    },
    [this, aRank, aDepth, aOnSample](const grpc::Status& aStatus,
                                     const mesh::v1::SampleReply& aReply) {
      if (aStatus.ok()) {
        aOnSample(Read(aReply));
        return;
      }
      mPeerEngines.NoteSilent(aRank);
      mPeerEngines.Sample(aRank, aDepth, aOnSample);
    });
}

void
RankNode::Order(uint32_t aRank, const RankOrder& aOrder, OnOutcome aOnOutcome)
{
  if (mRank && mRank->mRank == aRank) {
    OrderOwn(aOrder, std::move(aOnOutcome));
    return;
  }
  const std::string address = AgentOf(aRank);
  if (address.empty() || mPeerEngines.IsAgentSilent(aRank)) {
    transport::Post(&mContext, [this, aRank, aOrder, aOnOutcome] {
      mPeerEngines.Order(aRank, aOrder, aOnOutcome);
    });
    return;
  }
  const auto stub = std::shared_ptr<mesh::v1::RankControl::Stub>(
    mesh::v1::RankControl::NewStub(mMesh.ChannelTo(address)));
  mesh::v1::OrderRequest request;
  Write(aOrder, request);
  transport::CallUnary<mesh::v1::OrderRequest, mesh::v1::OrderReply>(
    &mContext,
    std::move(request),
    std::chrono::system_clock::now() +
      (aOrder.mMap.empty() ? kOrderTime : kMapOrderTime),
    [stub](auto* aContext, auto* aRequest, auto* aReply, auto aOnEnd) {
      stub->async()->Order(aContext, aRequest, aReply, std::move(aOnEnd));
    },
    [this, aRank, aOnOutcome](const grpc::Status& aStatus,
                              const mesh::v1::OrderReply& aReply) {
      if (!aStatus.ok()) {
        mPeerEngines.NoteSilent(aRank);
      }
      if (!aStatus.ok() || (!aReply.is_taken() && !aReply.is_refused())) {
        aOnOutcome(OrderOutcome::Unknown);
        return;
      }
      aOnOutcome(aReply.is_taken() ? OrderOutcome::Taken
                                   : OrderOutcome::Refused);
    });
}

void
RankNode::OrderOwn(const RankOrder& aOrder, OnOutcome aOnOutcome)
{
  mEngine.Order(aOrder, std::move(aOnOutcome));
}

void
RankNode::SampleOwn(SampleDepth aDepth, OnSample aOnSample)
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
