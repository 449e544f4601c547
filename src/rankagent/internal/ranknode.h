#pragma once

#include "configuration/processsettings.h"
#include "framework/settings/jsondocument.h"
#include "mesh/meshnode.h"
#include "published/publishedstate.h"
#include "rankagent/internal/agentclient.h"
#include "rankagent/internal/countedranks.h"
#include "rankagent/internal/engineclient.h"
#include "rankagent/internal/groupleader.h"
#include "rankagent/internal/peerengines.h"
#include "rankagent/internal/rankservice.h"
#include "rankagent/internal/relayplan.h"
#include "rankagent/internal/stalldetector.h"

#include <map>

namespace beryllever::rankagent {

/** Connects the local engine's rank to its group and to the mesh. Runs on the
 * control thread. */
class RankNode
  : public mesh::IMeshListener
  , public IGroupPort
  , public ILocalRank
{
public:
  RankNode(const global::IClock& aClock,
           const configuration::IProcessSettings& aSettings,
           std::shared_ptr<published::IRecordCodec> aRecords,
           std::shared_ptr<IEngineCodec> aCodec,
           metrics::Metrics& aMetrics);

  std::vector<std::shared_ptr<grpc::Service>> Services() const;
  void Start();
  /** Leads no more. A change of the map that has begun is carried out. */
  void BeginStop();
  /** Whether a process that is told to stop may exit. */
  bool IsIdle() const;
  void Stop();
  void Reload(const configuration::IProcessSettings& aSettings);
  settings::Json Status() const;

  mesh::RecordBatch RecordsSince(
    const mesh::StorePosition& aPosition) const override;
  mesh::StorePosition PublishedPosition() const override;
  void HandleRecords(const mesh::RecordBatch& aBatch) override;
  void HandleMembers() override {}
  void HandleLoad(const mesh::EndpointLoad&) override {}

  std::vector<uint32_t> LiveRanks() const override;
  std::vector<uint32_t> EligibleRanks() const override;
  std::vector<uint32_t> RanksToCount() const override;
  void Sample(uint32_t aRank, SampleDepth aDepth, OnSample aOnSample) override;
  void Order(uint32_t aRank,
             const RankOrder& aOrder,
             OnOutcome aOnOutcome) override;
  void OrderAll(const RankOrder& aOrder, OnRankOutcome aOnOutcome) override;

  void SampleLocal(SampleDepth aDepth, OnSample aOnSample) override;
  void OrderLocal(const RankOrder& aOrder, OnOutcome aOnOutcome) override;
  const MapHistory& Maps() const override { return mMaps; }
  void OrderAgent(const std::string& aAgent,
                  const RankOrder& aOrder,
                  OnOutcome aOnOutcome) override;

private:
  /** Agent of another rank. */
  struct Peer
  {
    std::string mAddress;
    std::string mAvailabilityZone;
    bool mMayLead = false;
    /** Running and queued requests at the rank. */
    int mRequests = 0;
  };

  /** Gives an order to ranks, through the agent of the first one. */
  void Relay(const RelayGroup& aGroup,
             const RankOrder& aOrder,
             OnRankOutcome aOnOutcome);
  void ReadState();
  void HandleState(const std::optional<RankState>& aState);
  void FinishSample(RankSample aSample, const OnSample& aOnSample);
  std::string AgentAddress(uint32_t aRank) const;
  /** Reads the other live agents of the local rank's group from the mesh. */
  void UpdatePeers();
  void DetectStall();

  QObject mContext;
  const global::IClock& mClock;
  const std::string mEndpointAddress;
  std::shared_ptr<published::IRecordCodec> mRecordCodec;
  std::shared_ptr<IEngineCodec> mEngineCodec;
  published::PublishedState mPublishedState;
  mesh::MeshNode mMesh;
  EngineClient mEngine;
  AgentClient mAgents;
  PeerEngines mPeerEngines;
  MapHistory mMaps;
  GroupLeader mLeader;
  StallDetector mStallDetector;
  std::shared_ptr<RankService> mService;
  std::optional<RankState> mRankState;
  /** Live agents of the group, by rank; as of the last state of the engine. */
  std::map<uint32_t, Peer> mPeers;
  /** Cached experts of the local rank; valid for mPlacementEpoch and the map
   * version mPlacement.mVersion. */
  RankPlacement mPlacement;
  uint64_t mPlacementEpoch = 0;
  bool mIsPlacementKnown = false;
  bool mIsReading = false;
  /** Set when the process is told to stop. */
  global::TimePoint mStopDeadline{};
  QTimer mTimer;
};

}
