#include "distribution/configurationnode.h"

#include "framework/log/log.h"
#include "transport/conversions.h"

#include <algorithm>

namespace beryllever::distribution {

namespace {

constexpr char kLogTag[] = "distribution";
constexpr std::chrono::milliseconds kTickInterval{ 250 };
constexpr std::chrono::milliseconds kHeartbeatInterval{ 1000 };
/** Time without news of the platform, directly or from sources, after which the
 * sources count as cut off from it and it is read directly. */
constexpr std::chrono::milliseconds kPlatformTimeout{ 10000 };
constexpr std::chrono::milliseconds kDirectReadInterval{ 10000 };
constexpr size_t kWatchersPerZone = 2;
constexpr size_t kSourceCount = 2;

}

ConfigurationNode::ConfigurationNode(
  const global::IClock& aClock,
  std::shared_ptr<configuration::IProcessSettings> aSettings,
  std::shared_ptr<consul::IPlatform> aPlatform,
  metrics::Metrics& aMetrics)
  : mClock(aClock)
  , mSettings(std::move(aSettings))
  , mPlatform(std::move(aPlatform))
  , mMetrics(aMetrics)
  , mTables(std::make_shared<configuration::Tables>())
  , mVms(std::make_shared<configuration::VmList>())
  , mGate(aClock, !mSettings->Seeds().empty())
  , mLastPlatformContact(aClock.Now())
{
}

void
ConfigurationNode::Start()
{
  mPlatform->SetOnResponse([this] { mLastPlatformContact = mClock.Now(); });
  mPlatform->SetOnDocuments([this](consul::DocumentSnapshot aSnapshot) {
    HandleDocuments(std::move(aSnapshot));
  });
  mPlatform->SetOnVms(
    [this](const consul::VmSnapshot& aSnapshot) { HandleVms(aSnapshot); });
  QObject::connect(&mTimer, &QTimer::timeout, &mTimer, [this] { Tick(); });
  mTimer.start(kTickInterval);
  mPlatform->ReadOnce();
  UpdateSources();
}

void
ConfigurationNode::SetLeaving()
{
  mIsLeaving = true;
  NotifyChange();
}

void
ConfigurationNode::AddFollower(const v1::FollowRequest& aRequest,
                               const std::shared_ptr<FollowStream>& aStream)
{
  mFollowers.push_back(
    { aStream, aRequest.tables_revision(), aRequest.vms_revision() });
  aStream->SetOnGone([this, stream = aStream.get()] {
    mFollowers.remove_if([&](const Follower& aFollower) {
      return aFollower.mStream.get() == stream;
    });
  });
  SendChanges(mFollowers.back());
  mNextHeartbeat = mClock.Now();
}

DistributionStatus
ConfigurationNode::Status() const
{
  DistributionStatus status{ .mTablesRevision = mTablesStore.Revision(),
                             .mVmsRevision = mVmsStore.Revision(),
                             .mIsWatcher = mIsWatcher,
                             .mFollowers = mFollowers.size(),
                             .mPlatformAge = PlatformAge(),
                             .mRefusal = mRefusal };
  for (const auto& source : mSources) {
    status.mSources.push_back(source->Address());
  }
  return status;
}

std::shared_ptr<const configuration::Tables>
ConfigurationNode::CurrentTables() const
{
  const std::lock_guard lock(mMutex);
  return mTables;
}

std::shared_ptr<const configuration::VmList>
ConfigurationNode::CurrentVms() const
{
  const std::lock_guard lock(mMutex);
  return mVms;
}

bool
ConfigurationNode::IsKnown() const
{
  return CurrentTables()->Revision() > 0;
}

bool
ConfigurationNode::IsSelfOutOfService() const
{
  return mIsLeaving || CurrentVms()->IsLeaving(mSettings->VmName()) ||
         CurrentTables()->Service().IsOutOfService(
           mSettings->VmName(), mSettings->AvailabilityZone());
}

void
ConfigurationNode::Subscribe(std::function<void()> aOnChange)
{
  mSubscribers.push_back(std::move(aOnChange));
}

void
ConfigurationNode::HandleDocuments(consul::DocumentSnapshot aSnapshot)
{
  if (!mGate.IsOpen()) {
    mDeferredDocuments = std::move(aSnapshot);
    return;
  }
  global::Resolve(
    [&]() -> global::Result<void> {
      BOOST_LEAF_AUTO(
        entries,
        configuration::ParseDocuments(aSnapshot.mDocuments, mRowCache));
      mRefusal.clear();
      PublishTables(mTablesStore.TakeSnapshot(entries, aSnapshot.mRevision));
      return {};
    },
    [&](const global::Error& aError) {
      mRefusal = aError.mMessage;
      mMetrics.Count("beryllever_tables_refused_total");
      LOGE("Published tables are refused; revision in force stays. refused="
           << aSnapshot.mRevision << " inForce=" << mTablesStore.Revision()
           << " reason=" << aError.mMessage);
    });
}

void
ConfigurationNode::HandleVms(const consul::VmSnapshot& aSnapshot)
{
  if (!mGate.IsOpen()) {
    mDeferredVms = aSnapshot;
    return;
  }
  std::vector<spread::Change> entries;
  for (const configuration::Vm& vm : aSnapshot.mVms) {
    entries.push_back(configuration::ChangeFromVm(vm, aSnapshot.mRevision));
  }
  PublishVms(mVmsStore.TakeSnapshot(entries, aSnapshot.mRevision));
}

void
ConfigurationNode::HandlePeerUpdate(const v1::FollowUpdate& aUpdate)
{
  if (aUpdate.has_batch()) {
    HandlePeerBatch(aUpdate.batch());
    return;
  }
  mGate.HandlePeerAnswer();
  const v1::Heartbeat& heartbeat = aUpdate.heartbeat();
  const auto lastContact =
    mClock.Now() - std::chrono::milliseconds(heartbeat.platform_age_ms());
  mLastPlatformContact = std::max(mLastPlatformContact, lastContact);
}

void
ConfigurationNode::HandlePeerBatch(const v1::ChangeBatch& aBatch)
{
  const bool isTables = aBatch.domain() == v1::DOMAIN_TABLES;
  spread::RevisionStore& store = isTables ? mTablesStore : mVmsStore;
  const spread::ApplyResult result =
    store.Apply(transport::FromMessage(aBatch));
  if (result.mStatus == spread::ApplyStatus::Diverged ||
      result.mStatus == spread::ApplyStatus::Gap) {
    mMetrics.Count("beryllever_spread_mismatches_total");
    LOGW("A peer's change set cannot be applied; reading the platform. from="
         << aBatch.from() << " to=" << aBatch.to());
    mPlatform->ReadOnce();
    return;
  }
  isTables ? PublishTables(result) : PublishVms(result);
}

void
ConfigurationNode::PublishTables(const spread::ApplyResult& aResult)
{
  if (aResult.mStatus != spread::ApplyStatus::Applied) {
    return;
  }
  auto next =
    CurrentTables()->With(aResult.mChangedEntries, mTablesStore.Revision());
  {
    const std::lock_guard lock(mMutex);
    mTables = std::move(next);
  }
  LOGI("Tables are in force. revision=" << mTablesStore.Revision()
                                        << " changes="
                                        << aResult.mChangedEntries.size());
  mMetrics.Set("beryllever_tables_revision",
               static_cast<double>(mTablesStore.Revision()));
  NotifyChange();
}

void
ConfigurationNode::PublishVms(const spread::ApplyResult& aResult)
{
  if (aResult.mStatus != spread::ApplyStatus::Applied) {
    return;
  }
  auto next = CurrentVms()->With(aResult.mChangedEntries, mVmsStore.Revision());
  {
    const std::lock_guard lock(mMutex);
    mVms = std::move(next);
  }
  LOGI("VM list is in force. revision=" << mVmsStore.Revision()
                                        << " vms=" << mVmsStore.Size());
  UpdateSources();
  NotifyChange();
}

void
ConfigurationNode::NotifyChange()
{
  for (Follower& follower : mFollowers) {
    SendChanges(follower);
  }
  for (const auto& onChange : mSubscribers) {
    onChange();
  }
}

void
ConfigurationNode::SendChanges(Follower& aFollower)
{
  const auto send = [&](const spread::RevisionStore& aStore,
                        uint64_t& aSent,
                        v1::Domain aDomain) {
    if (aStore.Revision() <= aSent) {
      return;
    }
    v1::FollowUpdate update;
    *update.mutable_batch() =
      transport::ToMessage(aStore.ChangesSince(aSent), aDomain);
    aSent = aStore.Revision();
    aFollower.mStream->Push(std::move(update));
  };
  send(mVmsStore, aFollower.mVmsRevision, v1::DOMAIN_VMS);
  send(mTablesStore, aFollower.mTablesRevision, v1::DOMAIN_TABLES);
}

void
ConfigurationNode::Tick()
{
  const global::TimePoint now = mClock.Now();
  if (mGate.IsOpen() && mDeferredVms) {
    HandleVms(*std::exchange(mDeferredVms, std::nullopt));
  }
  if (mGate.IsOpen() && mDeferredDocuments) {
    HandleDocuments(*std::exchange(mDeferredDocuments, std::nullopt));
  }
  if (now >= mNextHeartbeat) {
    mNextHeartbeat = now + kHeartbeatInterval;
    v1::FollowUpdate update;
    update.mutable_heartbeat()->set_tables_revision(mTablesStore.Revision());
    update.mutable_heartbeat()->set_vms_revision(mVmsStore.Revision());
    update.mutable_heartbeat()->set_platform_age_ms(
      static_cast<uint32_t>(PlatformAge().count()));
    for (Follower& follower : mFollowers) {
      // No heartbeats are queued for a follower that does not read its stream.
      if (follower.mStream->Depth() == 0) {
        follower.mStream->Push(update);
      }
    }
  }
  const bool isCutOff = PlatformAge() > kPlatformTimeout || !IsKnown();
  if (!mIsWatcher && isCutOff && now >= mNextDirectRead) {
    mNextDirectRead = now + kDirectReadInterval;
    mPlatform->ReadOnce();
  }
}

void
ConfigurationNode::UpdateSources()
{
  const auto entries = LiveEntries();
  const auto watchers = spread::SelectWatchers(entries, kWatchersPerZone);
  const bool isEntry = mSettings->Role() == "entry";
  mIsWatcher =
    isEntry && std::any_of(watchers.begin(),
                           watchers.end(),
                           [&](const spread::Candidate& aCandidate) {
                             return aCandidate.mVm == mSettings->VmName();
                           });
  if (mIsWatcher) {
    mPlatform->StartWatching();
  } else {
    mPlatform->StopWatching();
  }
  const auto addresses = SourceAddresses(isEntry ? watchers : entries);
  mSources.remove_if([&](const auto& aSource) {
    return std::find(addresses.begin(), addresses.end(), aSource->Address()) ==
           addresses.end();
  });
  for (const std::string& address : addresses) {
    const bool isFollowed =
      std::any_of(mSources.begin(), mSources.end(), [&](const auto& aSource) {
        return aSource->Address() == address;
      });
    if (!isFollowed) {
      mSources.push_back(std::make_unique<FollowClient>(
        mClock,
        address,
        [this] { return MakeFollowRequest(); },
        [this](const v1::FollowUpdate& aUpdate) {
          // Handling an update may delete this source, so it must not run
          // within the callback of the source.
          transport::Post(&mTimer,
                          [this, aUpdate] { HandlePeerUpdate(aUpdate); });
        }));
    }
  }
}

std::vector<spread::Candidate>
ConfigurationNode::LiveEntries() const
{
  std::vector<spread::Candidate> entries;
  for (const auto& [name, vm] : CurrentVms()->Vms()) {
    if (vm.mRole == "entry" && vm.mState == configuration::VmState::Live) {
      entries.push_back({ name, vm.mAvailabilityZone, vm.mPeerAddress });
    }
  }
  return entries;
}

std::vector<std::string>
ConfigurationNode::SourceAddresses(
  const std::vector<spread::Candidate>& aCandidates) const
{
  std::vector<std::string> addresses;
  for (const auto& source :
       spread::SelectSources(mSettings->VmName(), aCandidates, kSourceCount)) {
    addresses.push_back(source.mAddress);
  }
  if (!addresses.empty()) {
    return addresses;
  }
  for (const std::string& seed : mSettings->Seeds()) {
    if (seed != mSettings->PeerAddress() && addresses.size() < kSourceCount) {
      addresses.push_back(seed);
    }
  }
  return addresses;
}

v1::FollowRequest
ConfigurationNode::MakeFollowRequest() const
{
  v1::FollowRequest request;
  request.set_vm(mSettings->VmName());
  request.set_tables_revision(mTablesStore.Revision());
  request.set_vms_revision(mVmsStore.Revision());
  return request;
}

std::chrono::milliseconds
ConfigurationNode::PlatformAge() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
    mClock.Now() - mLastPlatformContact);
}

}
