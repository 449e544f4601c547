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
constexpr milliseconds kGossipInterval{ 250 };
/** Peers of its own zone that a gateway gossips with in one round. */
constexpr size_t kFanout = 2;
/** Rounds after which a gateway gossips with one of another zone, for each
 * kFarShare gateways of its own zone: a zone hears of another several times a
 * second whatever its size. */
constexpr uint64_t kFarRounds = 2;
constexpr uint64_t kFarShare = 4;
constexpr milliseconds kGossipTime{ 700 };
constexpr milliseconds kFetchTime{ 1500 };

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
{
  QObject::connect(&mTimer, &QTimer::timeout, this, [this] { Tick(); });
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
    mIsCalling[member.mPeerAddress] = false;
    GossipWith(member.mPeerAddress, {});
  }
}

void
MeshNode::AnnounceRevision()
{
  Member& self = mMembers.Self();
  ++self.mHeartbeat;
  self.mPublishedRevision = mListener->PublishedRevision();
  for (const Member& member : mMembers.AliveWithRole(kGatewayRole)) {
    if (member.mAvailabilityZone == self.mAvailabilityZone &&
        member.mStoreAccess != StoreAccess::Reading &&
        member.mPublishedRevision < self.mPublishedRevision) {
      GossipWith(member.mPeerAddress, {});
    }
  }
}

void
MeshNode::Tick()
{
  Member& self = mMembers.Self();
  ++self.mHeartbeat;
  self.mPublishedRevision = mListener->PublishedRevision();
  const std::vector<Member> expired = mMembers.Expire();
  for (const Member& member : expired) {
    LOGW("Peer has gone silent. vm=" << member.mVm << " role=" << member.mRole);
  }
  if (!expired.empty()) {
    mListener->HandleMembers();
    DropChannels();
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
  // Whole lists come from one gateway, of this zone if it has any.
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
  std::vector<Member> mates = mMembers.AliveWithRole(kGatewayRole);
  std::shuffle(mates.begin(), mates.end(), mRandom);
  const auto far = std::stable_partition(
    mates.begin(), mates.end(), [this](const Member& aMate) {
      return aMate.mAvailabilityZone == mMembers.Self().mAvailabilityZone;
    });
  const std::vector<Member> others(far, mates.end());
  mates.erase(far, mates.end());
  for (size_t i = 0; i < mates.size(); ++i) {
    const Gossip gossip{ .mWantsMembers = i == 0,
                         .mRelayed = RelayedTo(mates[i], mates) };
    if (i < kFanout || !gossip.mRelayed.empty()) {
      GossipWith(mates[i].mPeerAddress, gossip);
    }
  }
  mHeardAgents.clear();
  const uint64_t period =
    kFarRounds * std::max<uint64_t>(1, (mates.size() + 1) / kFarShare);
  const bool isFarRound = mates.empty() || mRound % period == 0;
  if (isFarRound && !others.empty()) {
    GossipWith(others.front().mPeerAddress, { .mWantsMembers = true });
  }
}

std::vector<Member>
MeshNode::RelayedTo(const Member& aMate,
                    const std::vector<Member>& aMates) const
{
  std::vector<Member> zone = aMates;
  zone.push_back(mMembers.Self());
  std::vector<Member> relayed;
  for (const auto& [vm, agent] : mHeardAgents) {
    if (NeedsRelay(agent, aMate, zone)) {
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
  if (mIsCalling[aAddress]) {
    return;
  }
  mIsCalling[aAddress] = true;
  v1::GossipRequest request;
  Write(mMembers.Self(), *request.add_members());
  const bool isGateway = mMembers.Self().mRole == kGatewayRole;
  if (isGateway && aGossip.mWantsMembers) {
    for (const Member& member : mMembers.AliveWithRole(kGatewayRole)) {
      Write(member, *request.add_members());
    }
  }
  for (const Member& agent : aGossip.mRelayed) {
    Write(agent, *request.add_members());
  }
  request.set_wants_members(aGossip.mWantsMembers);
  const auto stub =
    std::shared_ptr<v1::Mesh::Stub>(v1::Mesh::NewStub(ChannelTo(aAddress)));
  transport::CallUnary<v1::GossipRequest, v1::GossipReply>(
    this,
    std::move(request),
    system_clock::now() + kGossipTime,
    [stub](auto* aContext, auto* aRequest, auto* aReply, auto aOnEnd) {
      stub->async()->Gossip(aContext, aRequest, aReply, std::move(aOnEnd));
    },
    [this, aAddress](const grpc::Status& aStatus,
                     const v1::GossipReply& aReply) {
      mIsCalling[aAddress] = false;
      if (!aStatus.ok()) {
        mMetrics.Count("beryllever_gossip_failures");
        return;
      }
      TakeMembers(aReply.members());
    });
}

void
MeshNode::HandleGossip(const v1::GossipRequest& aRequest,
                       v1::GossipReply& aReply)
{
  TakeMembers(aRequest.members());
  const bool isGateway =
    aRequest.members_size() > 0 && aRequest.members(0).role() == kGatewayRole;
  if (!isGateway && aRequest.members_size() > 0 &&
      mMembers.Self().mRole == kGatewayRole) {
    mHeardAgents[aRequest.members(0).vm()] = Read(aRequest.members(0));
  }
  if (isGateway && aRequest.members(0).published_revision() >
                     mListener->PublishedRevision()) {
    FetchIfBehind();
  }
  if (!aRequest.wants_members()) {
    return;
  }
  Write(mMembers.Self(), *aReply.add_members());
  // Agents tell the gateways of themselves, or those pass it on.
  for (const Member& member : mMembers.Alive()) {
    if (!isGateway || member.mRole == kGatewayRole) {
      Write(member, *aReply.add_members());
    }
  }
}

void
MeshNode::TakeMembers(
  const google::protobuf::RepeatedPtrField<v1::Member>& aMembers)
{
  bool hasChanged = false;
  for (const v1::Member& message : aMembers) {
    const Member member = Read(message);
    const MergeResult result = mMembers.Merge(member);
    if (result == MergeResult::Nothing) {
      continue;
    }
    if (member.mLoad) {
      mListener->HandleLoad(*member.mLoad);
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
MeshNode::FetchIfBehind()
{
  const uint64_t own = mListener->PublishedRevision();
  std::vector<std::string> ahead;
  for (const Member& member : mMembers.Alive()) {
    if (member.mPublishedRevision > own) {
      ahead.push_back(member.mPeerAddress);
    }
  }
  if (mIsFetching || ahead.empty()) {
    return;
  }
  mIsFetching = true;
  std::uniform_int_distribution<size_t> draw(0, ahead.size() - 1);
  const auto stub = std::shared_ptr<v1::Mesh::Stub>(
    v1::Mesh::NewStub(ChannelTo(ahead[draw(mRandom)])));
  v1::FetchRequest request;
  request.set_since_revision(own);
  transport::CallUnary<v1::FetchRequest, v1::FetchReply>(
    this,
    std::move(request),
    system_clock::now() + kFetchTime,
    [stub](auto* aContext, auto* aRequest, auto* aReply, auto aOnEnd) {
      stub->async()->Fetch(aContext, aRequest, aReply, std::move(aOnEnd));
    },
    [this](const grpc::Status& aStatus, const v1::FetchReply& aReply) {
      mIsFetching = false;
      if (!aStatus.ok()) {
        LOGW("Published items cannot be had from a peer. reason="
             << aStatus.error_message());
        return;
      }
      mListener->TakeRecords(Read(aReply, mClock.Now()));
    });
}

void
MeshNode::HandleFetch(const v1::FetchRequest& aRequest,
                      v1::FetchReply& aReply) const
{
  Write(
    mListener->RecordsSince(aRequest.since_revision()), mClock.Now(), aReply);
}

void
MeshNode::DropChannels()
{
  std::set<std::string> wanted(mSeeds.begin(), mSeeds.end());
  for (const Member& member : mMembers.Alive()) {
    wanted.insert(member.mPeerAddress);
  }
  std::erase_if(mChannels, [&](const auto& aChannel) {
    return !wanted.contains(aChannel.first);
  });
}

}
