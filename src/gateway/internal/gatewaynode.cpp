#include "gateway/internal/gatewaynode.h"

#include "framework/global/identifiers.h"
#include "framework/log/log.h"
#include "mesh/gossipplan.h"
#include "transport/post.h"

#include <algorithm>
#include <stdexcept>

namespace beryllever::gateway {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr char kLogTag[] = "gateway";
constexpr milliseconds kTickInterval{ 100 };
/** Time without contact to the store after which another gateway takes over
 * reading it. Longer than it takes to renew a broken watch. */
constexpr milliseconds kStoreTakeoverDelay{ 700 };
/** Addresses per directory response; callers accept no more. */
constexpr size_t kMaxAddresses = 64;
/** Least number of gateways assumed to share a limit. */
constexpr int kMinGatewayCount = 8;
/** Least number of gateways assumed while not all of them are known. */
constexpr int kMinUnknownGatewayCount = 16;
/** Multiple of the known gateways assumed while not all of them are known. */
constexpr int kUnknownGatewayFactor = 3;

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
                         GatewayDependencies aDependencies,
                         metrics::Metrics& aMetrics)
  : mClock(aClock)
  , mMetrics(aMetrics)
  , mSite(aSettings.Site())
  , mMaxBufferedBytes(aSettings.Limits().mHeldBytes)
  , mCallerAddress(aSettings.CallerAddress())
  , mDependencies(std::move(aDependencies))
  , mState(*mDependencies.mRecords, aClock)
  , mMesh(aClock, SelfMember(aSettings), aSettings.Seeds(), aMetrics)
  , mSuspectedParts(aClock, global::RandomIdentifier())
  , mTraffic(aClock,
             *mDependencies.mRequests,
             aMetrics,
             aSettings.AvailabilityZone())
  , mReadiness(aClock,
               [this](const auto& aRequest) { return ReadinessPage(aRequest); })
  , mDirectory(aClock,
               [this](const auto& aRequest) { return AddressPage(aRequest); })
{
  mMesh.SetListener(*this);
  mTraffic.SetAnnounceParts([this](const quarantine::Notices& aNotices) {
    transport::Post(&mMesh, [this, aNotices] { AnnounceParts(aNotices); });
  });
  QObject::connect(&mTimer, &QTimer::timeout, &mTimer, [this] { Tick(); });
  mStopTimer.setSingleShot(true);
  mStopTimer.setTimerType(Qt::PreciseTimer);
  QObject::connect(
    &mStopTimer, &QTimer::timeout, &mStopTimer, [this] { EndTraffic(); });
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
    throw std::runtime_error(
      "cannot listen on the caller, readiness or directory address");
  }
  ApplyLimits();
  mIsReadingStore = true;
  mStoreUnreachableSince = mClock.Now();
  mLastStoreContact = mClock.Now();
  mDependencies.mSource->Start(*this);
  mMesh.Start();
  mTimer.start(kTickInterval);
}

void
GatewayNode::Reload(const configuration::IProcessSettings& aSettings)
{
  mSite = aSettings.Site();
  mMaxBufferedBytes = aSettings.Limits().mHeldBytes;
  mMesh.SetSeeds(aSettings.Seeds());
  LOGI("Settings are applied. seeds=" << aSettings.Seeds().size());
  ApplyLimits();
}

void
GatewayNode::ApplyLimits()
{
  mTraffic.SetLimits({ mSite.mRetryRatio,
                       mSite.mRetryExtra,
                       mSite.mRetryWindow,
                       mSite.mColdOverage,
                       mSite.mColdTolerance,
                       mMaxBufferedBytes },
                     Fleet());
}

GatewayFleet
GatewayNode::Fleet()
{
  const mesh::MemberTable& members = mMesh.Members();
  mKnowsAllGateways = members.KnowsAllGateways();
  const int known = members.GatewayCount();
  const int count = mKnowsAllGateways ? std::max(kMinGatewayCount, known)
                                      : std::max(kMinUnknownGatewayCount,
                                                 kUnknownGatewayFactor * known);
  return { members.Self().mVm, members.KnownGateways(), count };
}

void
GatewayNode::BeginDraining()
{
  const auto now = mClock.Now();
  mStop = PlanStop(now, mSite.mTerminationGracePeriod, mSite.mTimeToLive);
  const auto untilMilliseconds = [now](global::TimePoint aTime) {
    return duration_cast<milliseconds>(aTime - now).count();
  };
  LOGI("The gateway is told to stop. acceptMilliseconds="
       << untilMilliseconds(mStop->mAcceptDeadline)
       << " stopMilliseconds=" << untilMilliseconds(mStop->mEnd)
       << " openRequests=" << mTraffic.OpenRequests()
       << " openConnections=" << mTraffic.OpenConnections());
  UpdateServing();
  mMesh.Announce();
  mTraffic.BeginDraining(*mStop);
  mStopTimer.start(
    std::max(milliseconds(0), duration_cast<milliseconds>(mStop->mEnd - now)));
}

bool
GatewayNode::IsDrained() const
{
  return mTraffic.HasEnded();
}

void
GatewayNode::EndTraffic()
{
  if (mTraffic.HasEnded()) {
    return;
  }
  LOGW("The grace time ends before the callers' traffic. openRequests="
       << mTraffic.OpenRequests()
       << " openConnections=" << mTraffic.OpenConnections());
  // Before the peers' server, whose end takes a while: callers are answered
  // before the process may be killed.
  mTraffic.Stop();
}

void
GatewayNode::Stop()
{
  mTimer.stop();
  mStopTimer.stop();
  mDependencies.mSource->Stop();
  mMesh.Stop();
  mTraffic.Stop();
}

settings::Json
GatewayNode::Status() const
{
  const auto snapshot = mState.Current();
  return { { "configurationVersion", snapshot->Version() },
           { "publishedRevision", snapshot->Revision() },
           { "publishedEra", mState.Position().mEra },
           { "endpoints", snapshot->AllEndpoints().size() },
           { "outAvailabilityZones", snapshot->OutZones() },
           { "readsStore", mIsReadingStore },
           { "storeReachable", mIsStoreReachable },
           { "openRequests", mTraffic.OpenRequests() },
           { "openConnections", mTraffic.OpenConnections() },
           { "leaving", mStop.has_value() } };
}

std::string
GatewayNode::NotReadyReason() const
{
  if (mStop) {
    return "the gateway is stopping";
  }
  return mState.Current()->IsKnown() ? "" : "no configuration is known";
}

PageResponse
GatewayNode::ReadinessPage(const net::ServerRequest& aRequest) const
{
  if (aRequest.Path() != mDependencies.mDirectory->ReadinessPath()) {
    return { .mStatus = 404 };
  }
  const std::string reason = NotReadyReason();
  return { .mStatus = reason.empty() ? 200u : 503u, .mBody = reason };
}

PageResponse
GatewayNode::AddressPage(const net::ServerRequest& aRequest) const
{
  if (aRequest.Path() != mDependencies.mDirectory->AddressPath()) {
    return { .mStatus = 404 };
  }
  AddressList list{ .mTimeToLive = mSite.mTimeToLive };
  if (NotReadyReason().empty()) {
    list.mAddresses.push_back(mCallerAddress);
  }
  for (const mesh::Member& member : mMesh.Members().Alive()) {
    if (member.mIsServing && list.mAddresses.size() < kMaxAddresses) {
      list.mAddresses.push_back(member.mCallerAddress);
    }
  }
  if (list.mAddresses.empty()) {
    return { .mStatus = 503, .mBody = "no gateway is ready" };
  }
  return { .mContentType = "application/json",
           .mBody = mDependencies.mDirectory->FormatAddressList(list) };
}

void
GatewayNode::HandleListing(std::vector<published::Record> aRecords,
                           const published::StorePosition& aPosition)
{
  if (mState.ApplyListing(aRecords, aPosition)) {
    UpdateSnapshot("listing");
  }
}

void
GatewayNode::HandleChanges(std::vector<published::Record> aRecords,
                           const published::StorePosition& aPosition)
{
  if (mState.ApplyChanges(aRecords, aPosition)) {
    UpdateSnapshot("watch");
  }
}

void
GatewayNode::HandleContact()
{
  mState.RecordContact();
  if (!mIsStoreReachable) {
    mIsStoreReachable = true;
    LOGI("The platform's store answers. silentMilliseconds="
         << StoreSilence().count());
  }
  mLastStoreContact = mClock.Now();
}

milliseconds
GatewayNode::StoreSilence() const
{
  return duration_cast<milliseconds>(mClock.Now() - mLastStoreContact);
}

void
GatewayNode::HandleFailure(const std::string& aReason)
{
  mState.RecordFailure();
  mMetrics.Count("beryllever_store_failures");
  LOGW("The platform's store does not serve this gateway. silentMilliseconds="
       << StoreSilence().count() << " reason=" << aReason);
  if (mIsStoreReachable) {
    mStoreUnreachableSince = mClock.Now();
  }
  mIsStoreReachable = false;
}

mesh::RecordBatch
GatewayNode::RecordsSince(const mesh::StorePosition& aPosition) const
{
  return mState.RecordsSince(aPosition);
}

mesh::StorePosition
GatewayNode::PublishedPosition() const
{
  return mState.Position();
}

void
GatewayNode::HandleRecords(const mesh::RecordBatch& aBatch)
{
  if (mState.Apply(aBatch)) {
    LOGI("Published items came from a peer. items="
         << aBatch.mRecords.size() << " revision=" << aBatch.mPosition.mRevision
         << " era=" << aBatch.mPosition.mEra);
    UpdateSnapshot("peer");
  }
}

void
GatewayNode::HandleMembers()
{
  ApplyLimits();
}

void
GatewayNode::HandleLoad(const mesh::EndpointLoad& aLoad)
{
  mTraffic.UpdateLoad(net::ParseTcpAddress(aLoad.mEndpointAddress),
                      aLoad.mRequests,
                      aLoad.mIsOpen,
                      aLoad.mPace);
}

void
GatewayNode::AnnounceParts(const quarantine::Notices& aNotices)
{
  for (const quarantine::Notice& notice : aNotices) {
    mSuspectedParts.Apply(notice);
  }
  mMesh.AnnounceParts(aNotices);
}

quarantine::Notices
GatewayNode::SuspectedParts() const
{
  return mSuspectedParts.Suspected();
}

void
GatewayNode::HandlePartNotices(const quarantine::Notices& aNotices)
{
  for (const quarantine::Notice& notice : aNotices) {
    mSuspectedParts.Apply(notice);
  }
  mTraffic.ApplyPartNotices(aNotices);
}

void
GatewayNode::UpdateSnapshot(std::string_view aSource)
{
  const auto snapshot = mState.Current();
  mTraffic.SetSnapshot(snapshot);
  if (snapshot->Version() != mVersion) {
    mVersion = snapshot->Version();
    LOGI("Requests are routed by a new configuration. version="
         << mVersion << " revision=" << snapshot->Revision()
         << " source=" << aSource);
  }
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
    !mIsStoreReachable &&
    mClock.Now() - mStoreUnreachableSince > kStoreTakeoverDelay;
  self.mStoreAccess = !mIsReadingStore ? mesh::StoreAccess::None
                      : isFailing      ? mesh::StoreAccess::Failing
                                       : mesh::StoreAccess::Reading;
  const bool shouldRead = mesh::IsStoreReader(self, mMesh.Members().Alive());
  if (shouldRead == mIsReadingStore) {
    return;
  }
  LOGI((shouldRead ? "This gateway reads the platform's store from now on."
                   : "Other gateways of the zone read the platform's store."));
  mIsReadingStore = shouldRead;
  if (shouldRead) {
    mStoreUnreachableSince = mClock.Now();
    mDependencies.mSource->Start(*this);
  } else {
    mIsStoreReachable = false;
    mDependencies.mSource->Stop();
  }
}

void
GatewayNode::Tick()
{
  UpdateStoreAccess();
  if (mKnowsAllGateways != mMesh.Members().KnowsAllGateways()) {
    ApplyLimits();
    LOGI((mKnowsAllGateways ? "All gateways are known."
                            : "Not all gateways may be known.")
         << " gateways=" << mMesh.Members().GatewayCount());
  }
  if (mIsReadingStore && mState.Position() > mAnnouncedPosition) {
    mAnnouncedPosition = mState.Position();
    mMesh.AnnouncePosition();
  }
  if (mState.Position().mEra > mCountedEra) {
    mCountedEra = mState.Position().mEra;
    mMetrics.Count("beryllever_store_eras");
  }
  if (mState.ExpireRemovals()) {
    UpdateSnapshot("expiry");
  }
}

}
