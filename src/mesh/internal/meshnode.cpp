#include "mesh/meshnode.h"

#include "framework/global/identifiers.h"
#include "framework/log/log.h"
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
/** Peers that a gateway gossips with in one round. */
constexpr size_t kFanout = 3;
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
    GossipWith(member.mPeerAddress, false);
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
  // One peer's members are enough to hear of all; the others hear of this one.
  bool wantsMembers = true;
  for (const std::string& address : GossipTargets()) {
    GossipWith(address, wantsMembers);
    wantsMembers = false;
  }
  FetchIfBehind();
}

std::vector<std::string>
MeshNode::GossipTargets()
{
  const bool isGateway = mMembers.Self().mRole == kGatewayRole;
  std::vector<std::string> targets;
  std::set<std::string> near;
  for (const Member& member : mMembers.AliveWithRole(kGatewayRole)) {
    targets.push_back(member.mPeerAddress);
    if (member.mAvailabilityZone == mMembers.Self().mAvailabilityZone) {
      near.insert(member.mPeerAddress);
    }
  }
  std::shuffle(targets.begin(), targets.end(), mRandom);
  if (!isGateway) {
    // Whole lists come from a gateway of this process's own zone, if there is
    // one.
    std::stable_partition(
      targets.begin(), targets.end(), [&](const std::string& aAddress) {
        return near.contains(aAddress);
      });
  }
  if (isGateway && targets.size() > kFanout) {
    targets.resize(kFanout);
  }
  std::vector<std::string> seeds;
  std::set<std::string> alive;
  for (const Member& member : mMembers.Alive()) {
    alive.insert(member.mPeerAddress);
  }
  for (const std::string& seed : mSeeds) {
    if (seed != mMembers.Self().mPeerAddress && !alive.contains(seed)) {
      seeds.push_back(seed);
    }
  }
  targets.insert(targets.end(), seeds.begin(), seeds.end());
  return targets;
}

void
MeshNode::GossipWith(const std::string& aAddress, bool aWantsMembers)
{
  if (mIsCalling[aAddress]) {
    return;
  }
  mIsCalling[aAddress] = true;
  v1::GossipRequest request;
  Write(mMembers.Self(), *request.add_members());
  const bool isGateway = mMembers.Self().mRole == kGatewayRole;
  if (isGateway && aWantsMembers) {
    for (const Member& member : mMembers.AliveWithRole(kGatewayRole)) {
      Write(member, *request.add_members());
    }
  }
  request.set_wants_members(aWantsMembers);
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
  Write(mMembers.Self(), *aReply.add_members());
  if (!aRequest.wants_members()) {
    return;
  }
  // Agents tell every gateway of themselves.
  const bool isGateway =
    aRequest.members_size() > 0 && aRequest.members(0).role() == kGatewayRole;
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
      mListener->TakeRecords(Read(aReply));
    });
}

void
MeshNode::HandleFetch(const v1::FetchRequest& aRequest,
                      v1::FetchReply& aReply) const
{
  Write(mListener->RecordsSince(aRequest.since_revision()), aReply);
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
