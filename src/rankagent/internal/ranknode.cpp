#include "rankagent/internal/ranknode.h"

#include "framework/global/identifiers.h"
#include "framework/log/log.h"

namespace beryllever::rankagent {

namespace {

using std::chrono::milliseconds;

constexpr char kLogTag[] = "rank";
constexpr milliseconds kReadInterval{ 100 };

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
  , mRecords(std::move(aRecords))
  , mCodec(std::move(aCodec))
  , mState(*mRecords, aClock)
  , mMesh(aClock, SelfMember(aSettings), aSettings.Seeds(), aMetrics)
  , mEngine(net::ParseTcpAddress(mEndpointAddress), *mCodec)
{
  mMesh.SetListener(*this);
  QObject::connect(&mTimer, &QTimer::timeout, &mTimer, [this] { ReadState(); });
}

std::shared_ptr<grpc::Service>
RankNode::MeshService() const
{
  return mMesh.Service();
}

void
RankNode::Start()
{
  mMesh.Start();
  mTimer.start(kReadInterval);
}

void
RankNode::Stop()
{
  mTimer.stop();
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
RankNode::TakeRecords(const mesh::RecordBatch& aBatch)
{
  mState.TakeChanges(aBatch.mRecords, aBatch.mRevision);
}

void
RankNode::ReadState()
{
  if (mIsReading) {
    return;
  }
  mIsReading = true;
  mEngine.ReadState([this](std::optional<RankState> aState) {
    mIsReading = false;
    if (mRank.has_value() != aState.has_value()) {
      LOGI("The engine " << (aState ? "answers." : "does not answer."));
    }
    mRank = aState;
    auto& load = mMesh.Members().Self().mLoad;
    load.reset();
    if (mRank) {
      load = mesh::EndpointLoad{ mEndpointAddress,
                                 mRank->mRequests,
                                 mRank->mIsOpen };
    }
  });
  mEngine.ReadCounts([](std::optional<ExpertCounts>) {});
}

}
