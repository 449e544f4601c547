#pragma once

#include "framework/metrics/metrics.h"
#include "mesh.grpc.pb.h"
#include "mesh/fetchplan.h"
#include "mesh/membertable.h"
#include "quarantine/promptquarantine.h"

#include <QObject>
#include <QTimer>
#include <random>

namespace beryllever::mesh {

using published::RecordBatch;
using published::StorePosition;

/** Provides the published items of the process and is notified of changes. */
class IMeshListener
{
public:
  virtual ~IMeshListener() = default;

  virtual RecordBatch RecordsSince(const StorePosition& aPosition) const = 0;
  virtual StorePosition PublishedPosition() const = 0;
  virtual void HandleRecords(const RecordBatch& aBatch) = 0;
  /** Members have joined, restarted or expired, or have begun or ceased to
   * serve callers. */
  virtual void HandleMembers() = 0;
  virtual void HandleLoad(const EndpointLoad& aLoad) = 0;
  /** What this process knows of suspected parts of prompts. */
  virtual quarantine::Notices SuspectedParts() const { return {}; }
  virtual void HandlePartNotices(const quarantine::Notices&) {}
};

/**
 * The gossip node of this process: exchanges heartbeats and endpoint loads with
 * its peers, and fetches published items that a peer has and this process does
 * not. Lives on the control thread.
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
  /** Sends a change of this process to all live peers at once. */
  void Announce();
  /** Sends a new published position to the gateways that do not learn of it
   * from the store. */
  void AnnouncePosition();

  /** Tells all live gateways at once about parts of prompts. */
  void AnnounceParts(const quarantine::Notices& aNotices);

  MemberTable& Members() { return mMembers; }
  const MemberTable& Members() const { return mMembers; }
  std::shared_ptr<grpc::Channel> ChannelTo(const std::string& aAddress);

  void HandleGossip(const v1::GossipRequest& aRequest, v1::GossipReply& aReply);
  void HandleFetch(const v1::FetchRequest& aRequest,
                   v1::FetchReply& aReply) const;

private:
  /** Contents of a gossip call besides the entry of this process. */
  struct Gossip
  {
    bool mWantsMembers = false;
    /** Rank agents that do not report to the peer directly. */
    std::vector<Member> mRelayed;
    quarantine::Notices mPartNotices;
  };

  void Tick();
  void GossipAsAgent();
  void GossipAsGateway();
  void GossipWithSeeds();
  std::vector<Member> AgentsToRelay(
    const Member& aPeer,
    const std::vector<Member>& aZoneGateways) const;
  void GossipWith(const std::string& aAddress, const Gossip& aGossip);
  void MergeMembers(
    const google::protobuf::RepeatedPtrField<v1::Member>& aMembers);
  void HandlePartNotices(
    const google::protobuf::RepeatedPtrField<v1::PartNotice>& aNotices);
  /** Fetches published items if a peer has any that this process lacks. */
  void FetchIfBehind();
  std::vector<FetchSource> SourcesAhead();
  void FetchFrom(const std::string& aAddress);
  /** Replaces the connection to a peer after calls that have timed out. */
  void ReplaceSilentChannel(const std::string& aAddress,
                            const grpc::Status& aStatus);
  /** Drops the channel to a peer that has started, if it waits before it
   * connects again. */
  void DropFailedChannel(const std::string& aAddress);
  void DropUnusedChannels();

  const global::IClock& mClock;
  MemberTable mMembers;
  std::vector<std::string> mSeeds;
  metrics::Metrics& mMetrics;
  IMeshListener* mListener = nullptr;
  std::shared_ptr<grpc::Service> mService;
  std::map<std::string, std::shared_ptr<grpc::Channel>> mChannels;
  std::map<std::string, bool> mIsCallPending;
  /** Calls to each peer that have timed out in a row. */
  std::map<std::string, int> mTimeouts;
  /** Rank agents that have reported to this gateway since the last round. */
  std::map<std::string, Member> mReportingAgents;
  /** Starts at a random number, so that gateways do not gossip with other zones
   * in the same round. */
  uint64_t mRound;
  std::mt19937_64 mRandom;
  FetchPlan mFetchPlan;
  /** Runs until another peer may be asked as well. */
  QTimer mHedgeTimer;
  QTimer mTimer;
};

}
