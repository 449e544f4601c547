#include "gateway/internal/gatewaynode.h"

#include "framework/global/identifiers.h"
#include "framework/log/log.h"
#include "mesh/gossipplan.h"

#include <algorithm>
#include <stdexcept>

namespace beryllever::gateway {

namespace {

using std::chrono::milliseconds;

constexpr char kLogTag[] = "gateway";
constexpr milliseconds kTickInterval{ 100 };
/** Time without the store after which another gateway reads it instead; a cut
 * watch is renewed sooner. */
constexpr milliseconds kStorePatience{ 700 };
/** Answers of the directory name no more gateways than callers take. */
constexpr size_t kMaxAddresses = 64;
/** Time beyond the directory's time to live in which callers that kept an
 * answer still come to a leaving gateway. */
constexpr milliseconds kLeavingSlack{ 700 };
/** Share of the grace time after which no more requests are taken, so that the
 * last ones can run to their end. */
constexpr double kIntakeShare = 0.4;
/** Part of the grace time that is left for the end of the process. */
constexpr milliseconds kGraceReserve{ 300 };
/** Gateways that are assumed to share bounds before the peers are known. */
constexpr int kMinGateways = 8;

mesh::Member
SelfMember(const configuration::IProcessSettings& aSettings)
{
  return { .mVm = aSettings.VmName(),
           .mRole = aSettings.Role(),
           .mIncarnation = global::NewIncarnation(),
           .mPeerAddress = aSettings.PeerAddress(),
           .mAvailabilityZone = aSettings.AvailabilityZone(),
           .mCallerAddress = aSettings.CallerAddress() };
}

}

GatewayNode::GatewayNode(const global::IClock& aClock,
                         const configuration::IProcessSettings& aSettings,
                         GatewayParts aParts,
                         metrics::Metrics& aMetrics)
  : mClock(aClock)
  , mMetrics(aMetrics)
  , mSite(aSettings.Site())
  , mHeldBytes(aSettings.Limits().mHeldBytes)
  , mCallerAddress(aSettings.CallerAddress())
  , mParts(std::move(aParts))
  , mState(*mParts.mRecords, aClock)
  , mMesh(aClock, SelfMember(aSettings), aSettings.Seeds(), aMetrics)
  , mTraffic(aClock, *mParts.mRequests, aMetrics, aSettings.AvailabilityZone())
  , mReadiness(
      aClock,
      [this](const auto& aRequest) { return AnswerReadiness(aRequest); })
  , mDirectory(aClock, [this](const auto& aRequest) {
    return AnswerAddresses(aRequest);
  })
{
  mMesh.SetListener(*this);
  QObject::connect(&mTimer, &QTimer::timeout, &mTimer, [this] { Tick(); });
}

std::shared_ptr<grpc::Service>
GatewayNode::MeshService() const
{
  return mMesh.Service();
}

void
GatewayNode::Start()
{
  const bool isListening =
    mTraffic.Start(net::ParseTcpAddress(mCallerAddress)) &&
    mReadiness.Listen(net::ParseTcpAddress(mSite.mReadyAddress)) &&
    mDirectory.Listen(net::ParseTcpAddress(mSite.mDirectoryAddress));
  if (!isListening) {
    throw std::runtime_error("an address for callers cannot be listened on");
  }
  ApplyBounds();
  mIsReadingStore = true;
  mStoreLostAt = mClock.Now();
  mParts.mSource->Start(*this);
  mMesh.Start();
  mTimer.start(kTickInterval);
}

void
GatewayNode::Reload(const configuration::IProcessSettings& aSettings)
{
  mSite = aSettings.Site();
  mHeldBytes = aSettings.Limits().mHeldBytes;
  mMesh.SetSeeds(aSettings.Seeds());
  LOGI("Settings are taken over. seeds=" << aSettings.Seeds().size());
  ApplyBounds();
}

void
GatewayNode::ApplyBounds()
{
  mTraffic.SetBounds({ mSite.mRetryRatio,
                       mSite.mRetryExtra,
                       mSite.mRetryWindow,
                       mSite.mColdOverage,
                       mSite.mColdTolerance,
                       mHeldBytes },
                     AssumedGateways());
}

int
GatewayNode::AssumedGateways()
{
  return std::max(kMinGateways, mMesh.Members().MaxGatewaysSeen());
}

void
GatewayNode::BeginLeaving()
{
  mIsLeaving = true;
  const auto now = mClock.Now();
  mLatestEnd = now + mSite.mTerminationGracePeriod - kGraceReserve;
  const auto longest = std::chrono::duration_cast<milliseconds>(
    mSite.mTerminationGracePeriod * kIntakeShare);
  mIntakeEnd =
    now + std::min<milliseconds>(mSite.mTimeToLive + kLeavingSlack, longest);
  UpdateServing();
  mMesh.Announce();
  mTraffic.BeginLeaving();
}

bool
GatewayNode::IsDrained() const
{
  const auto now = mClock.Now();
  if (now >= mLatestEnd) {
    return true;
  }
  return mHasEndedIntake && mTraffic.OpenRequests() == 0;
}

void
GatewayNode::Stop()
{
  mTimer.stop();
  mParts.mSource->Stop();
  mMesh.Stop();
  mTraffic.Stop();
}

settings::Json
GatewayNode::Status() const
{
  const auto snapshot = mState.Current();
  return { { "configurationVersion", snapshot->Version() },
           { "publishedRevision", snapshot->Revision() },
           { "endpoints", snapshot->AllEndpoints().size() },
           { "outAvailabilityZones", snapshot->OutZones() },
           { "readsStore", mIsReadingStore },
           { "storeReachable", mIsStoreReachable },
           { "openRequests", mTraffic.OpenRequests() },
           { "leaving", mIsLeaving } };
}

std::string
GatewayNode::NotReadyReason() const
{
  if (mIsLeaving) {
    return "the gateway is stopping";
  }
  return mState.Current()->IsKnown() ? "" : "no configuration is known";
}

PageAnswer
GatewayNode::AnswerReadiness(const net::ServerRequest& aRequest) const
{
  if (aRequest.Path() != mParts.mDirectory->ReadinessPath()) {
    return { .mStatus = 404 };
  }
  const std::string reason = NotReadyReason();
  return { .mStatus = reason.empty() ? 200u : 503u, .mBody = reason };
}

PageAnswer
GatewayNode::AnswerAddresses(const net::ServerRequest& aRequest) const
{
  if (aRequest.Path() != mParts.mDirectory->AddressPath()) {
    return { .mStatus = 404 };
  }
  AddressAnswer answer{ .mTimeToLive = mSite.mTimeToLive };
  if (NotReadyReason().empty()) {
    answer.mAddresses.push_back(mCallerAddress);
  }
  for (const mesh::Member& member : mMesh.Members().Alive()) {
    if (member.mIsServing && answer.mAddresses.size() < kMaxAddresses) {
      answer.mAddresses.push_back(member.mCallerAddress);
    }
  }
  if (answer.mAddresses.empty()) {
    return { .mStatus = 503, .mBody = "no gateway is ready" };
  }
  return { .mContentType = "application/json",
           .mBody = mParts.mDirectory->WriteAnswer(answer) };
}

void
GatewayNode::HandleListing(std::vector<published::Record> aRecords,
                           uint64_t aRevision)
{
  if (mState.ApplyListing(aRecords, aRevision)) {
    Publish();
  }
}

void
GatewayNode::HandleChanges(std::vector<published::Record> aRecords,
                           uint64_t aRevision)
{
  if (mState.ApplyChanges(aRecords, aRevision)) {
    Publish();
  }
}

void
GatewayNode::HandleContact()
{
  mState.RecordContact();
  if (!mIsStoreReachable) {
    mIsStoreReachable = true;
    LOGI("The platform's store answers.");
  }
}

void
GatewayNode::HandleFailure(const std::string& aReason)
{
  mState.RecordFailure();
  mMetrics.Count("beryllever_store_failures");
  LOGW("The platform's store does not serve this gateway. reason=" << aReason);
  if (mIsStoreReachable) {
    mStoreLostAt = mClock.Now();
  }
  mIsStoreReachable = false;
}

mesh::RecordBatch
GatewayNode::RecordsSince(uint64_t aRevision) const
{
  return { mState.Revision(), mState.RecordsSince(aRevision) };
}

uint64_t
GatewayNode::PublishedRevision() const
{
  return mState.Revision();
}

void
GatewayNode::HandleRecords(const mesh::RecordBatch& aBatch)
{
  if (mState.ApplyChanges(aBatch.mRecords, aBatch.mRevision)) {
    LOGI("Published items came from a peer. items="
         << aBatch.mRecords.size() << " revision=" << aBatch.mRevision);
    Publish();
  }
}

void
GatewayNode::HandleMembers()
{
  ApplyBounds();
}

void
GatewayNode::HandleLoad(const mesh::EndpointLoad& aLoad)
{
  mTraffic.TakeLoad(net::ParseTcpAddress(aLoad.mEndpointAddress),
                    aLoad.mRequests,
                    aLoad.mIsOpen,
                    aLoad.mPace);
}

void
GatewayNode::Publish()
{
  mTraffic.SetSnapshot(mState.Current());
  UpdateServing();
}

void
GatewayNode::UpdateServing()
{
  bool& isServing = mMesh.Members().Self().mIsServing;
  const bool wasServing = isServing;
  isServing = NotReadyReason().empty();
  if (isServing && !wasServing) {
    mMesh.Announce();
  }
}

void
GatewayNode::UpdateStoreAccess()
{
  mesh::Member& self = mMesh.Members().Self();
  const bool isFailing =
    !mIsStoreReachable && mClock.Now() - mStoreLostAt > kStorePatience;
  self.mStoreAccess = !mIsReadingStore ? mesh::StoreAccess::None
                      : isFailing      ? mesh::StoreAccess::Failing
                                       : mesh::StoreAccess::Reading;
  const bool isWanted = mesh::IsStoreReader(self, mMesh.Members().Alive());
  if (isWanted == mIsReadingStore) {
    return;
  }
  LOGI((isWanted ? "This gateway reads the platform's store from now on."
                 : "Other gateways of the zone read the platform's store."));
  mIsReadingStore = isWanted;
  if (isWanted) {
    mStoreLostAt = mClock.Now();
    mParts.mSource->Start(*this);
  } else {
    mIsStoreReachable = false;
    mParts.mSource->Stop();
  }
}

void
GatewayNode::Tick()
{
  UpdateStoreAccess();
  if (mIsReadingStore && mState.Revision() > mAnnouncedRevision) {
    mAnnouncedRevision = mState.Revision();
    mMesh.AnnounceRevision();
  }
  if (mState.ExpireRemovals()) {
    Publish();
  }
  if (mIsLeaving && !mHasEndedIntake && mClock.Now() >= mIntakeEnd) {
    mTraffic.EndIntake();
    mHasEndedIntake = true;
  }
}

}
