#pragma once

#include "configuration/iconfiguration.h"
#include "configuration/processsettings.h"
#include "consul/iplatform.h"
#include "distribution/followclient.h"
#include "distribution/peerservice.h"
#include "distribution/snapshotgate.h"
#include "framework/metrics/metrics.h"
#include "spread/revisionstore.h"
#include "spread/sourceselection.h"

#include <QTimer>
#include <list>
#include <mutex>
#include <optional>

namespace beryllever::distribution {

/** State of the configuration in a process, for operators. */
struct DistributionStatus
{
  uint64_t mTablesRevision = 0;
  uint64_t mVmsRevision = 0;
  bool mIsWatcher = false;
  size_t mFollowers = 0;
  std::vector<std::string> mSources;
  std::chrono::milliseconds mPlatformAge{ 0 };
  /** Why the newest published tables were refused; empty if they were not. */
  std::string mRefusal;
};

/**
 * Keeps the configuration of one process up to date: watches the platform if
 * the process is one of the few selected watchers, follows peers, and forwards
 * changes to followers. Lives on the control thread; the current values may be
 * read from any thread.
 */
class ConfigurationNode : public configuration::IConfiguration
{
public:
  ConfigurationNode(const global::IClock& aClock,
                    std::shared_ptr<configuration::IProcessSettings> aSettings,
                    std::shared_ptr<consul::IPlatform> aPlatform,
                    metrics::Metrics& aMetrics);

  void Start();
  /** Marks this process as leaving service; it does not return. */
  void SetLeaving();
  void AddFollower(const v1::FollowRequest& aRequest,
                   const std::shared_ptr<FollowStream>& aStream);
  DistributionStatus Status() const;

  std::shared_ptr<const configuration::Tables> CurrentTables() const override;
  std::shared_ptr<const configuration::VmList> CurrentVms() const override;
  bool IsKnown() const override;
  bool IsSelfOutOfService() const override;
  void Subscribe(std::function<void()> aOnChange) override;

private:
  struct Follower
  {
    std::shared_ptr<FollowStream> mStream;
    uint64_t mTablesRevision = 0;
    uint64_t mVmsRevision = 0;
  };

  void HandleDocuments(consul::DocumentSnapshot aSnapshot);
  void HandleVms(const consul::VmSnapshot& aSnapshot);
  void HandlePeerUpdate(const v1::FollowUpdate& aUpdate);
  void HandlePeerBatch(const v1::ChangeBatch& aBatch);
  void PublishTables(const spread::ApplyResult& aResult);
  void PublishVms(const spread::ApplyResult& aResult);
  void NotifyChange();
  void SendChanges(Follower& aFollower);
  void Tick();
  void UpdateSources();
  std::vector<spread::Candidate> LiveEntries() const;
  std::vector<std::string> SourceAddresses(
    const std::vector<spread::Candidate>& aCandidates) const;
  v1::FollowRequest MakeFollowRequest() const;
  std::chrono::milliseconds PlatformAge() const;

  const global::IClock& mClock;
  std::shared_ptr<configuration::IProcessSettings> mSettings;
  std::shared_ptr<consul::IPlatform> mPlatform;
  metrics::Metrics& mMetrics;

  spread::RevisionStore mTablesStore;
  spread::RevisionStore mVmsStore;
  mutable std::mutex mMutex;
  std::shared_ptr<const configuration::Tables> mTables;
  std::shared_ptr<const configuration::VmList> mVms;

  configuration::RowCache mRowCache;
  SnapshotGate mGate;
  std::optional<consul::DocumentSnapshot> mDeferredDocuments;
  std::optional<consul::VmSnapshot> mDeferredVms;
  std::string mRefusal;
  bool mIsLeaving = false;
  bool mIsWatcher = false;
  global::TimePoint mLastPlatformContact;
  global::TimePoint mNextDirectRead;
  global::TimePoint mNextHeartbeat;
  std::list<std::unique_ptr<FollowClient>> mSources;
  std::list<Follower> mFollowers;
  std::vector<std::function<void()>> mSubscribers;
  QTimer mTimer;
};

}
