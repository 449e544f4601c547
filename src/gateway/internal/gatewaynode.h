#pragma once

#include "configuration/processsettings.h"
#include "framework/settings/jsondocument.h"
#include "gateway/internal/pageserver.h"
#include "gateway/trafficserver.h"
#include "mesh/meshnode.h"
#include "published/ipublishedsource.h"
#include "published/publishedstate.h"

namespace beryllever::gateway {

/** What the platform's adapter gives a gateway. */
struct GatewayParts
{
  std::shared_ptr<published::IRecordCodec> mRecords;
  std::shared_ptr<IRequestCodec> mRequests;
  std::shared_ptr<IDirectoryCodec> mDirectory;
  std::shared_ptr<published::IPublishedSource> mSource;
};

/**
 * Control state of a gateway: what is published, which other processes live,
 * what callers and the platform are told of this one.
 */
class GatewayNode
  : public published::ISourceListener
  , public mesh::IMeshListener
{
public:
  GatewayNode(const global::IClock& aClock,
              const configuration::IProcessSettings& aSettings,
              GatewayParts aParts,
              metrics::Metrics& aMetrics);

  std::shared_ptr<grpc::Service> MeshService() const;
  /** Throws std::runtime_error if an address cannot be had. */
  void Start();
  void Reload(const configuration::IProcessSettings& aSettings);
  void BeginLeaving();
  /** Whether a leaving gateway has no more work and callers know others. */
  bool IsDrained() const;
  void Stop();
  settings::Json Status() const;
  /** Empty if the gateway takes requests. */
  std::string NotReadyReason() const;

  void HandleListing(std::vector<published::Record> aRecords,
                     uint64_t aRevision) override;
  void HandleChanges(std::vector<published::Record> aRecords,
                     uint64_t aRevision) override;
  void HandleContact() override;
  void HandleFailure(const std::string& aReason) override;

  mesh::RecordBatch RecordsSince(uint64_t aRevision) const override;
  uint64_t PublishedRevision() const override;
  void HandleRecords(const mesh::RecordBatch& aBatch) override;
  void HandleMembers() override;
  void HandleLoad(const mesh::EndpointLoad& aLoad) override;

private:
  PageAnswer AnswerReadiness(const net::ServerRequest& aRequest) const;
  PageAnswer AnswerAddresses(const net::ServerRequest& aRequest) const;
  int AssumedGateways();
  void ApplyBounds();
  void Publish();
  void UpdateServing();
  /** Begins or ends reading the store, as its zone's gateways need it. */
  void UpdateStoreAccess();
  void Tick();

  const global::IClock& mClock;
  metrics::Metrics& mMetrics;
  configuration::SiteSettings mSite;
  /** Bytes of request bodies that this gateway holds at a time. */
  int64_t mHeldBytes;
  const std::string mCallerAddress;
  GatewayParts mParts;
  published::PublishedState mState;
  mesh::MeshNode mMesh;
  TrafficServer mTraffic;
  PageServer mReadiness;
  PageServer mDirectory;
  QTimer mTimer;
  bool mIsReadingStore = false;
  bool mIsStoreReachable = false;
  global::TimePoint mStoreLostAt{};
  /** Peers that do not read the store know of this revision. */
  uint64_t mAnnouncedRevision = 0;
  bool mIsLeaving = false;
  bool mHasEndedIntake = false;
  global::TimePoint mIntakeEnd{};
  global::TimePoint mLatestEnd{};
};

}
