#include "mesh/meshnode.h"

#include "framework/global/identifiers.h"
#include "framework/log/log.h"
#include "mesh/gossipplan.h"
#include "mesh/internal/meshservice.h"
#include "mesh/internal/messages.h"
#include "transport/channel.h"
#include "transport/unary.h"

#include <algorithm>
#include <chrono>
#include <set>

namespace beryllever::mesh {

namespace {

using std::chrono::milliseconds;
using std::chrono::system_clock;

constexpr char kLogTag[] = "mesh";
/** Duration of a gossip round. */
constexpr milliseconds kGossipInterval{ 250 };
/** Minimum number of gateways of its own zone that a gateway contacts in each
 * round, if there are as many and no earlier call to them is pending. It also
 * contacts those to which it has rank agents to relay. */
constexpr size_t kFanout = 2;
/** A gateway contacts one random gateway of the other zones every
 * kCrossZoneRounds * max(1, n / kCrossZoneGateways) rounds, where n is the
 * number of gateways in its own zone, itself included; if it is the only one,
 * in each round. The gateways of a zone together thus make 4 to 14 such calls a
 * second whatever their number: other zones hear of the zone soon, and the
 * costly traffic between zones does not grow with its gateways. */
constexpr uint64_t kCrossZoneRounds = 2;
constexpr uint64_t kCrossZoneGateways = 4;
constexpr milliseconds kGossipTimeout{ 700 };
/** Calls to a peer that time out in a row before its connection is replaced:
 * open connections may go silent while new ones work. With two, a peer is heard
 * again before it counts as gone. */
constexpr int kTimeoutsUntilReconnect = 2;
/** Several times the delay after which other peers are asked as well, so that
 * a slow answer is still of use. */
constexpr milliseconds kFetchTimeout{ 4 * kFetchHedgeDelay };

}

MeshNode::MeshNode(const global::IClock& aClock,
                   Member aSelf,
                   std::vector<std::string> aSeeds,
                   metrics::Metrics& aMetrics)
  : mClock(aClock)
  , mMembers(aClock, std::move(aSelf))
  , mSeeds(std::move(aSeeds))
  , mMetrics(aMetrics)
  , mService(std::make_shared<MeshService>(*this))
  , mRound(global::RandomIdentifier())
  , mRandom(global::RandomIdentifier())
  , mFetchPlan(aClock)
{
  QObject::connect(&mTimer, &QTimer::timeout, this, [this] { Tick(); });
  mHedgeTimer.setSingleShot(true);
  QObject::connect(
    &mHedgeTimer, &QTimer::timeout, this, [this] { FetchIfBehind(); });
}

MeshNode::~MeshNode() = default;

std::shared_ptr<grpc::Service>
MeshNode::Service() const
{
  return mService;
}

void
MeshNode::SetSeeds(std::vector<std::string> aSeeds)
{
  mSeeds = std::move(aSeeds);
}

void
MeshNode::Start()
{
  mTimer.start(kGossipInterval);
  Tick();
}

void
MeshNode::Stop()
{
  mTimer.stop();
  mHedgeTimer.stop();
}

std::shared_ptr<grpc::Channel>
MeshNode::ChannelTo(const std::string& aAddress)
{
  auto& channel = mChannels[aAddress];
  if (!channel) {
    channel = transport::MakeChannel(aAddress);
  }
  return channel;
}

void
MeshNode::Announce()
{
  ++mMembers.Self().mHeartbeat;
  for (const Member& member : mMembers.Alive()) {
    mIsCallPending[member.mPeerAddress] = false;
    GossipWith(member.mPeerAddress, {});
  }
}

void
MeshNode::AnnouncePosition()
{
  Member& self = mMembers.Self();
  ++self.mHeartbeat;
  self.mPublishedPosition = mListener->PublishedPosition();
  for (const Member& member :
       RevisionTargets(self, mMembers.AliveWithRole(kGatewayRole))) {
    GossipWith(member.mPeerAddress, {});
  }
}

void
MeshNode::AnnounceParts(const quarantine::Notices& aNotices)
{
  for (const Member& member : mMembers.AliveWithRole(kGatewayRole)) {
    mIsCallPending[member.mPeerAddress] = false;
    GossipWith(member.mPeerAddress, { .mPartNotices = aNotices });
  }
}

void
MeshNode::Tick()
{
  Member& self = mMembers.Self();
  ++self.mHeartbeat;
  self.mPublishedPosition = mListener->PublishedPosition();
  self.mKnownGateways =
    mMembers.KnowsAllGateways() ? mMembers.GatewayCount() : 0;
  const std::vector<Member> expired = mMembers.Expire();
  for (const Member& member : expired) {
    LOGW("Peer has gone silent. vm=" << member.mVm << " role=" << member.mRole);
  }
  if (!expired.empty()) {
    mListener->HandleMembers();
    DropUnusedChannels();
  }
  if (self.mRole == kGatewayRole) {
    GossipAsGateway();
  } else {
    GossipAsAgent();
  }
  GossipWithSeeds();
  FetchIfBehind();
}

void
MeshNode::GossipAsAgent()
{
  std::vector<Member> targets =
    ReportTargets(mMembers.Self(), mMembers.AliveWithRole(kGatewayRole));
  std::shuffle(targets.begin(), targets.end(), mRandom);
  // Only the first target is asked for the whole member list. It is in this
  // zone if the zone has any gateway.
  std::stable_partition(
    targets.begin(), targets.end(), [this](const Member& aTarget) {
      return aTarget.mAvailabilityZone == mMembers.Self().mAvailabilityZone;
    });
  bool wantsMembers = true;
  for (const Member& target : targets) {
    GossipWith(target.mPeerAddress, { .mWantsMembers = wantsMembers });
    wantsMembers = false;
  }
}

void
MeshNode::GossipAsGateway()
{
  ++mRound;
  std::vector<Member> zoneGateways = mMembers.AliveWithRole(kGatewayRole);
  std::shuffle(zoneGateways.begin(), zoneGateways.end(), mRandom);
  const auto firstRemote = std::stable_partition(
    zoneGateways.begin(), zoneGateways.end(), [this](const Member& aPeer) {
      return aPeer.mAvailabilityZone == mMembers.Self().mAvailabilityZone;
    });
  const std::vector<Member> remoteGateways(firstRemote, zoneGateways.end());
  zoneGateways.erase(firstRemote, zoneGateways.end());
  for (size_t i = 0; i < zoneGateways.size(); ++i) {
    const Gossip gossip{ .mWantsMembers = i == 0,
                         .mRelayed =
                           AgentsToRelay(zoneGateways[i], zoneGateways) };
    if (i < kFanout || !gossip.mRelayed.empty()) {
      GossipWith(zoneGateways[i].mPeerAddress, gossip);
    }
  }
  mReportingAgents.clear();
  const uint64_t period =
    kCrossZoneRounds *
    std::max<uint64_t>(1, (zoneGateways.size() + 1) / kCrossZoneGateways);
  const bool isCrossZoneRound = zoneGateways.empty() || mRound % period == 0;
  if (isCrossZoneRound && !remoteGateways.empty()) {
    GossipWith(remoteGateways.front().mPeerAddress, { .mWantsMembers = true });
  }
}

std::vector<Member>
MeshNode::AgentsToRelay(const Member& aPeer,
                        const std::vector<Member>& aZoneGateways) const
{
  std::vector<Member> zone = aZoneGateways;
  zone.push_back(mMembers.Self());
  std::vector<Member> relayed;
  for (const auto& [vm, agent] : mReportingAgents) {
    if (NeedsRelay(agent, aPeer, zone)) {
      relayed.push_back(agent);
    }
  }
  return relayed;
}

void
MeshNode::GossipWithSeeds()
{
  std::set<std::string> alive;
  for (const Member& member : mMembers.Alive()) {
    alive.insert(member.mPeerAddress);
  }
  for (const std::string& seed : mSeeds) {
    if (seed != mMembers.Self().mPeerAddress && !alive.contains(seed)) {
      GossipWith(seed, { .mWantsMembers = alive.empty() });
    }
  }
}

void
MeshNode::GossipWith(const std::string& aAddress, const Gossip& aGossip)
{
  if (mIsCallPending[aAddress]) {
    return;
  }
  mIsCallPending[aAddress] = true;
  v1::GossipRequest request;
  ToMessage(mMembers.Self(), *request.add_members());
  const bool isGateway = mMembers.Self().mRole == kGatewayRole;
  if (isGateway && aGossip.mWantsMembers) {
    for (const Member& member : mMembers.AliveWithRole(kGatewayRole)) {
      ToMessage(member, *request.add_members());
    }
    ToMessage(mListener->SuspectedParts(), *request.mutable_part_notices());
  }
  ToMessage(aGossip.mPartNotices, *request.mutable_part_notices());
  for (const Member& agent : aGossip.mRelayed) {
    ToMessage(agent, *request.add_members());
  }
  request.set_wants_members(aGossip.mWantsMembers);
  const auto stub =
    std::shared_ptr<v1::Mesh::Stub>(v1::Mesh::NewStub(ChannelTo(aAddress)));
  transport::CallUnary<v1::GossipRequest, v1::GossipReply>(
    this,
    std::move(request),
    system_clock::now() + kGossipTimeout,
    [stub](auto* aContext, auto* aRequest, auto* aReply, auto aOnEnd) {
      stub->async()->Gossip(aContext, aRequest, aReply, std::move(aOnEnd));
    },
    [this, aAddress](const grpc::Status& aStatus,
                     const v1::GossipReply& aReply) {
      mIsCallPending[aAddress] = false;
      ReplaceSilentChannel(aAddress, aStatus);
      if (!aStatus.ok()) {
        mMetrics.Count("beryllever_gossip_failures");
        return;
      }
      MergeMembers(aReply.members());
      HandlePartNotices(aReply.part_notices());
    });
}

void
MeshNode::HandleGossip(const v1::GossipRequest& aRequest,
                       v1::GossipReply& aReply)
{
  MergeMembers(aRequest.members());
  HandlePartNotices(aRequest.part_notices());
  const bool isGateway =
    aRequest.members_size() > 0 && aRequest.members(0).role() == kGatewayRole;
  if (!isGateway && aRequest.members_size() > 0 &&
      mMembers.Self().mRole == kGatewayRole) {
    mReportingAgents[aRequest.members(0).vm()] =
      FromMessage(aRequest.members(0));
  }
  if (isGateway && FromMessage(aRequest.members(0)).mPublishedPosition >
                     mListener->PublishedPosition()) {
    FetchIfBehind();
  }
  if (!aRequest.wants_members()) {
    return;
  }
  ToMessage(mMembers.Self(), *aReply.add_members());
  if (isGateway) {
    ToMessage(mListener->SuspectedParts(), *aReply.mutable_part_notices());
  }
  // Rank agents are left out of the reply to a gateway, which learns of them by
  // their own reports and by relay.
  for (const Member& member : mMembers.Alive()) {
    if (!isGateway || member.mRole == kGatewayRole) {
      ToMessage(member, *aReply.add_members());
    }
  }
}

void
MeshNode::MergeMembers(
  const google::protobuf::RepeatedPtrField<v1::Member>& aMembers)
{
  bool hasChanged = false;
  for (const v1::Member& message : aMembers) {
    const Member member = FromMessage(message);
    const MergeResult result = mMembers.Merge(member);
    if (result == MergeResult::Ignored) {
      continue;
    }
    if (member.mLoad) {
      mListener->HandleLoad(*member.mLoad);
    }
    if (result == MergeResult::Joined) {
      DropFailedChannel(member.mPeerAddress);
    }
    if (result != MergeResult::Refreshed) {
      LOGI("Peer is known. vm=" << member.mVm << " role=" << member.mRole
                                << " incarnation=" << member.mIncarnation
                                << " serving=" << member.mIsServing);
      hasChanged = true;
    }
  }
  if (hasChanged) {
    mListener->HandleMembers();
  }
}

void
MeshNode::HandlePartNotices(
  const google::protobuf::RepeatedPtrField<v1::PartNotice>& aNotices)
{
  if (aNotices.empty()) {
    return;
  }
  mListener->HandlePartNotices(FromMessage(aNotices));
}

void
MeshNode::FetchIfBehind()
{
  const auto address = mFetchPlan.Choose(SourcesAhead());
  if (!address) {
    return;
  }
  if (mFetchPlan.Pending() > 0) {
    LOGW("A peer does not send its published items soon; another one is asked "
         "as well. peer="
         << *address << " pending=" << mFetchPlan.Pending());
  }
  mFetchPlan.RecordStart(*address);
  FetchFrom(*address);
  mHedgeTimer.start(kFetchHedgeDelay);
}

std::vector<FetchSource>
MeshNode::SourcesAhead()
{
  const StorePosition own = mListener->PublishedPosition();
  std::vector<FetchSource> sources;
  for (const Member& member : mMembers.Alive()) {
    if (member.mPublishedPosition > own) {
      sources.push_back({ .mAddress = member.mPeerAddress,
                          .mIsGateway = member.mRole == kGatewayRole,
                          .mIsInSameZone = member.mAvailabilityZone ==
                                           mMembers.Self().mAvailabilityZone,
                          .mLastHeard = mMembers.LastHeard(member.mVm) });
    }
  }
  std::shuffle(sources.begin(), sources.end(), mRandom);
  return sources;
}

void
MeshNode::FetchFrom(const std::string& aAddress)
{
  v1::FetchRequest request;
  const StorePosition since = mListener->PublishedPosition();
  request.set_since_revision(since.mRevision);
  request.set_since_era(since.mEra);
  const auto start = mClock.Now();
  const auto stub =
    std::shared_ptr<v1::Mesh::Stub>(v1::Mesh::NewStub(ChannelTo(aAddress)));
  transport::CallUnary<v1::FetchRequest, v1::FetchReply>(
    this,
    std::move(request),
    system_clock::now() + kFetchTimeout,
    [stub](auto* aContext, auto* aRequest, auto* aReply, auto aOnEnd) {
      stub->async()->Fetch(aContext, aRequest, aReply, std::move(aOnEnd));
    },
    [this, aAddress, since, start](const grpc::Status& aStatus,
                                   const v1::FetchReply& aReply) {
      const auto elapsed =
        std::chrono::duration_cast<milliseconds>(mClock.Now() - start);
      const StorePosition position{ aReply.era(), aReply.revision() };
      const bool hasHelped = aStatus.ok() && position > since;
      mFetchPlan.RecordEnd(aAddress, hasHelped);
      ReplaceSilentChannel(aAddress, aStatus);
      if (aStatus.ok()) {
        LOGI("A peer has sent its published items. peer="
             << aAddress << " milliseconds=" << elapsed.count() << " items="
             << aReply.records_size() << " since=" << since.mRevision
             << " sinceEra=" << since.mEra << " revision=" << aReply.revision()
             << " era=" << aReply.era() << " isFull=" << aReply.is_full());
        mListener->HandleRecords(FromMessage(aReply, mClock.Now()));
      } else {
        LOGW("Fetching published items from a peer failed. peer="
             << aAddress << " milliseconds=" << elapsed.count()
             << " since=" << since.mRevision << " sinceEra=" << since.mEra
             << " reason=" << aStatus.error_message());
      }
      if (hasHelped) {
        FetchIfBehind();
      }
    });
}

void
MeshNode::HandleFetch(const v1::FetchRequest& aRequest,
                      v1::FetchReply& aReply) const
{
  const StorePosition since{ aRequest.since_era(), aRequest.since_revision() };
  ToMessage(mListener->RecordsSince(since), mClock.Now(), aReply);
}

void
MeshNode::ReplaceSilentChannel(const std::string& aAddress,
                               const grpc::Status& aStatus)
{
  if (aStatus.error_code() != grpc::StatusCode::DEADLINE_EXCEEDED) {
    mTimeouts.erase(aAddress);
    return;
  }
  if (++mTimeouts[aAddress] < kTimeoutsUntilReconnect) {
    return;
  }
  LOGI("The connection to a peer is replaced, because calls on it time out. "
       "peer="
       << aAddress);
  mTimeouts.erase(aAddress);
  mChannels.erase(aAddress);
}

void
MeshNode::DropFailedChannel(const std::string& aAddress)
{
  const auto it = mChannels.find(aAddress);
  if (it != mChannels.end() &&
      it->second->GetState(false) == GRPC_CHANNEL_TRANSIENT_FAILURE) {
    mChannels.erase(it);
  }
}

void
MeshNode::DropUnusedChannels()
{
  std::set<std::string> addressesInUse(mSeeds.begin(), mSeeds.end());
  for (const Member& member : mMembers.Alive()) {
    addressesInUse.insert(member.mPeerAddress);
  }
  std::erase_if(mChannels, [&](const auto& aChannel) {
    return !addressesInUse.contains(aChannel.first);
  });
}

}
