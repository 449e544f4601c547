#pragma once

#include "framework/metrics/metrics.h"
#include "mesh.grpc.pb.h"
#include "mesh/membertable.h"

#include <QObject>
#include <QTimer>
#include <random>

namespace beryllever::mesh {

/** Published items that a peer passes on. */
struct RecordBatch
{
  uint64_t mRevision = 0;
  std::vector<published::Record> mRecords;
};

/** What the mesh needs from and tells to the rest of its process. */
class IMeshListener
{
public:
  virtual ~IMeshListener() = default;

  virtual RecordBatch RecordsSince(uint64_t aRevision) const = 0;
  virtual uint64_t PublishedRevision() const = 0;
  virtual void TakeRecords(const RecordBatch& aBatch) = 0;
  /** The members, or what they say of themselves, have changed. */
  virtual void HandleMembers() = 0;
  virtual void HandleLoad(const EndpointLoad& aLoad) = 0;
};

/**
 * This process among the others: passes heartbeats and loads on, and fetches
 * published items that a peer has and this process has not. Lives on the
 * control thread.
 */
class MeshNode : public QObject
{
public:
  MeshNode(const global::IClock& aClock,
           Member aSelf,
           std::vector<std::string> aSeeds,
           metrics::Metrics& aMetrics);
  ~MeshNode() override;

  void SetListener(IMeshListener& aListener) { mListener = &aListener; }
  void SetSeeds(std::vector<std::string> aSeeds);
  std::shared_ptr<grpc::Service> Service() const;
  void Start();
  void Stop();
  /** Tells all live peers at once of a change of this process. */
  void Announce();
  /** Tells gateways of this zone that do not read the store of a new published
   * revision. */
  void AnnounceRevision();

  MemberTable& Members() { return mMembers; }
  const MemberTable& Members() const { return mMembers; }
  std::shared_ptr<grpc::Channel> ChannelTo(const std::string& aAddress);

  void HandleGossip(const v1::GossipRequest& aRequest, v1::GossipReply& aReply);
  void HandleFetch(const v1::FetchRequest& aRequest,
                   v1::FetchReply& aReply) const;

private:
  /** What one gossip call carries besides this process itself. */
  struct Gossip
  {
    bool mWantsMembers = false;
    /** Agents that the peer does not hear of directly. */
    std::vector<Member> mRelayed;
  };

  void Tick();
  void GossipAsAgent();
  void GossipAsGateway();
  void GossipWithSeeds();
  std::vector<Member> RelayedTo(const Member& aMate,
                                const std::vector<Member>& aMates) const;
  void GossipWith(const std::string& aAddress, const Gossip& aGossip);
  void TakeMembers(
    const google::protobuf::RepeatedPtrField<v1::Member>& aMembers);
  void FetchIfBehind();
  void DropChannels();

  const global::IClock& mClock;
  MemberTable mMembers;
  std::vector<std::string> mSeeds;
  metrics::Metrics& mMetrics;
  IMeshListener* mListener = nullptr;
  std::shared_ptr<grpc::Service> mService;
  std::map<std::string, std::shared_ptr<grpc::Channel>> mChannels;
  std::map<std::string, bool> mIsCalling;
  /** Agents that have told this gateway of themselves since the last round. */
  std::map<std::string, Member> mHeardAgents;
  /** Begins anywhere, so that gateways do not gossip far in the same round. */
  uint64_t mRound;
  std::mt19937_64 mRandom;
  QTimer mTimer;
  bool mIsFetching = false;
};

}
