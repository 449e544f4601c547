#pragma once

#include "configuration/processsettings.h"
#include "framework/settings/jsondocument.h"
#include "mesh/meshnode.h"
#include "published/publishedstate.h"
#include "rankagent/internal/engineclient.h"

namespace beryllever::rankagent {

/** Control state of the process beside one model engine. */
class RankNode : public mesh::IMeshListener
{
public:
  RankNode(const global::IClock& aClock,
           const configuration::IProcessSettings& aSettings,
           std::shared_ptr<published::IRecordCodec> aRecords,
           std::shared_ptr<IEngineCodec> aCodec,
           metrics::Metrics& aMetrics);

  std::shared_ptr<grpc::Service> MeshService() const;
  void Start();
  void Stop();
  void Reload(const configuration::IProcessSettings& aSettings);
  settings::Json Status() const;

  mesh::RecordBatch RecordsSince(uint64_t aRevision) const override;
  uint64_t PublishedRevision() const override;
  void TakeRecords(const mesh::RecordBatch& aBatch) override;
  void HandleMembers() override {}
  void HandleLoad(const mesh::EndpointLoad&) override {}

private:
  void ReadState();

  const global::IClock& mClock;
  const std::string mEndpointAddress;
  std::shared_ptr<published::IRecordCodec> mRecords;
  std::shared_ptr<IEngineCodec> mCodec;
  published::PublishedState mState;
  mesh::MeshNode mMesh;
  EngineClient mEngine;
  std::optional<RankState> mRank;
  bool mIsReading = false;
  QTimer mTimer;
};

}
