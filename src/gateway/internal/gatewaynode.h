#pragma once

#include "configuration/processsettings.h"
#include "framework/settings/jsondocument.h"
#include "gateway/internal/pageserver.h"
#include "gateway/trafficserver.h"
#include "mesh/meshnode.h"
#include "published/ipublishedsource.h"
#include "published/publishedstate.h"

namespace beryllever::gateway {

/** Interfaces that the platform's adapter provides to a gateway. */
struct GatewayDependencies
{
  std::shared_ptr<published::IRecordCodec> mRecords;
  std::shared_ptr<IRequestCodec> mRequests;
  std::shared_ptr<IDirectoryCodec> mDirectory;
  std::shared_ptr<published::IPublishedSource> mSource;
};

/**
 * Control plane of a gateway: tracks the published items and the other
 * processes of the mesh, configures the traffic server, and serves the
 * directory and readiness pages. Lives on the control thread.
 */
class GatewayNode
  : public published::ISourceListener
  , public mesh::IMeshListener
{
public:
  GatewayNode(const global::IClock& aClock,
              const configuration::IProcessSettings& aSettings,
              GatewayDependencies aDependencies,
              metrics::Metrics& aMetrics);

  std::shared_ptr<grpc::Service> MeshService() const;
  /** Throws std::runtime_error if an address cannot be listened on. */
  void Start();
  void Reload(const configuration::IProcessSettings& aSettings);
  /** Announces that this gateway is shutting down. It accepts requests until
   * the cached directory responses expire, then those that end in time for
   * sure. */
  void BeginDraining();
  /** Whether a gateway that is shutting down may exit: its traffic has ended.
   */
  bool IsDrained() const;
  void Stop();
  settings::Json Status() const;
  /** Why the gateway is not ready for new callers; empty if it is. */
  std::string NotReadyReason() const;

  void HandleListing(std::vector<published::Record> aRecords,
                     const published::StorePosition& aPosition) override;
  void HandleChanges(std::vector<published::Record> aRecords,
                     const published::StorePosition& aPosition) override;
  void HandleContact() override;
  void HandleFailure(const std::string& aReason) override;

  mesh::RecordBatch RecordsSince(
    const mesh::StorePosition& aPosition) const override;
  mesh::StorePosition PublishedPosition() const override;
  void HandleRecords(const mesh::RecordBatch& aBatch) override;
  void HandleMembers() override;
  void HandleLoad(const mesh::EndpointLoad& aLoad) override;
  quarantine::Notices SuspectedParts() const override;
  void HandlePartNotices(const quarantine::Notices& aNotices) override;

private:
  PageResponse ReadinessPage(const net::ServerRequest& aRequest) const;
  PageResponse AddressPage(const net::ServerRequest& aRequest) const;
  /** The gateways that share the limits of the site. */
  GatewayFleet Fleet();
  void ApplyLimits();
  /** Tells the other gateways what the traffic thread has found out. */
  void AnnounceParts(const quarantine::Notices& aNotices);
  /** Passes the current snapshot on to the traffic server and calls
   * UpdateServing. aSource, which is logged, tells where a change came from. */
  void UpdateSnapshot(std::string_view aSource);
  /** Time since the last answer of the store. */
  std::chrono::milliseconds StoreSilence() const;
  /** Updates whether the mesh sees this gateway as ready for callers, and
   * announces it at once when it becomes ready. */
  void UpdateServing();
  /** Starts or stops reading the store, depending on the other gateways of the
   * zone. */
  void UpdateStoreAccess();
  void Tick();
  /** Ends what is open, because the grace time does. */
  void EndTraffic();

  const global::IClock& mClock;
  metrics::Metrics& mMetrics;
  configuration::SiteSettings mSite;
  /** Bytes of request bodies that this gateway may buffer at a time. */
  int64_t mMaxBufferedBytes;
  const std::string mCallerAddress;
  GatewayDependencies mDependencies;
  published::PublishedState mState;
  mesh::MeshNode mMesh;
  /** What the traffic thread knows of suspected parts, to tell it to peers. */
  quarantine::PromptQuarantine mSuspectedParts;
  TrafficServer mTraffic;
  PageServer mReadiness;
  PageServer mDirectory;
  QTimer mTimer;
  /** Runs until the grace time of a stop ends. */
  QTimer mStopTimer;
  bool mIsReadingStore = false;
  bool mIsStoreReachable = false;
  global::TimePoint mStoreUnreachableSince{};
  global::TimePoint mLastStoreContact{};
  /** Version of the configuration by which requests are routed. */
  int64_t mVersion = 0;
  /** Last position announced to the peers that do not read the store. */
  published::StorePosition mAnnouncedPosition;
  /** Last era of the store that has been counted. */
  uint64_t mCountedEra = 0;
  /** Set once the gateway is told to stop. */
  std::optional<StopSchedule> mStop;
  bool mKnowsAllGateways = false;
};

}
