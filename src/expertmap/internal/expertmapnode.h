#pragma once

#include "configuration/iconfiguration.h"
#include "configuration/processsettings.h"
#include "expertmap/internal/enginemapclient.h"
#include "expertmap/internal/leadership.h"
#include "expertmap/internal/stepleaseservice.h"
#include "framework/metrics/metrics.h"
#include "framework/settings/jsondocument.h"
#include "steplease/ranklease.h"

#include <QTimer>
#include <memory>
#include <optional>

namespace beryllever::expertmap {

/**
 * Represents the local engine's rank in its group: forwards the leader's grants
 * to the engine, and takes over the lead if no other rank leads the group. Runs
 * on the control thread.
 */
class ExpertMapNode : public IStepLeaseHandler
{
public:
  ExpertMapNode(const global::IClock& aClock,
                std::shared_ptr<configuration::IProcessSettings> aSettings,
                std::shared_ptr<configuration::IConfiguration> aConfiguration,
                metrics::Metrics& aMetrics);

  void Start();
  settings::Json Status() const;

  v1::PromiseReply HandlePromise(const v1::PromiseRequest& aRequest) override;
  void HandleGrant(const v1::GrantRequest& aRequest,
                   OnGranted aOnGranted) override;

private:
  void ApplyConfiguration();
  void ReadEngine();
  void HandleEngineState(const std::optional<EngineState>& aState);
  void Tick();
  bool IsTakeoverDue() const;
  void PostponeTakeover(std::chrono::milliseconds aBase);
  v1::GrantReply MakeGrantReply(bool aIsAccepted) const;

  const global::IClock& mClock;
  std::shared_ptr<configuration::IProcessSettings> mSettings;
  std::shared_ptr<configuration::IConfiguration> mConfiguration;
  metrics::Metrics& mMetrics;
  EngineMapClient mEngine;
  const uint64_t mIncarnation;
  GroupView mView;
  int mRank = -1;
  std::optional<steplease::RankLease> mLease;
  std::unique_ptr<Leadership> mLeadership;
  steplease::Step mStep = 0;
  steplease::MapVersion mPreparedMap = 0;
  steplease::MapVersion mPreparingMap = 0;
  uint64_t mFencingNumber = 0;
  bool mIsReading = false;
  global::TimePoint mReadDeadline;
  global::TimePoint mTakeoverDeadline;
  QTimer mTimer;
};

}
