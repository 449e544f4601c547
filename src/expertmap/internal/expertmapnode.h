#pragma once

#include "configuration/iconfiguration.h"
#include "configuration/processsettings.h"
#include "expertmap/internal/enginemaps.h"
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
 * The rank of this agent's engine in its group: takes leads' orders to the
 * engine, and leads the group itself when no one else does. Lives on the
 * control thread.
 */
class ExpertMapNode : public IStepLeaseCalls
{
public:
  ExpertMapNode(const global::IClock& aClock,
                std::shared_ptr<configuration::IProcessSettings> aSettings,
                std::shared_ptr<configuration::IConfiguration> aConfiguration,
                metrics::Metrics& aMetrics);

  void Start();
  settings::Json Status() const;

  v1::PromiseReply TakePromise(const v1::PromiseRequest& aRequest) override;
  void TakeGrant(const v1::GrantRequest& aRequest,
                 OnGranted aOnGranted) override;

private:
  void TakeConfiguration();
  void ReadEngine();
  void TakeEngineState(const std::optional<EngineState>& aState);
  void Tick();
  bool IsLeadDue() const;
  void PostponeLead(std::chrono::milliseconds aBase);
  v1::GrantReply MakeGrantReply(bool aIsAccepted) const;

  const global::IClock& mClock;
  std::shared_ptr<configuration::IProcessSettings> mSettings;
  std::shared_ptr<configuration::IConfiguration> mConfiguration;
  metrics::Metrics& mMetrics;
  QNetworkAccessManager mManager;
  EngineMaps mEngine;
  const uint64_t mIncarnation;
  GroupView mView;
  int mRank = -1;
  std::optional<steplease::RankLease> mLease;
  std::unique_ptr<Leadership> mLeadership;
  steplease::Step mStep = 0;
  steplease::MapVersion mPrepared = 0;
  steplease::MapVersion mPreparing = 0;
  uint64_t mFence = 0;
  bool mIsReading = false;
  global::TimePoint mReadDeadline;
  global::TimePoint mLeadDeadline;
  QTimer mTimer;
};

}
