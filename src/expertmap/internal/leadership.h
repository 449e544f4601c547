#pragma once

#include "beryllever.grpc.pb.h"
#include "framework/global/iclock.h"
#include "steplease/grouplead.h"

#include <QObject>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace beryllever::expertmap {

/** Members and ordered map of a group, as configured in the tables. */
struct GroupView
{
  std::string mGroup;
  /** Addresses of the agents, by rank. */
  std::vector<std::string> mAddresses;
  /** Map that is configured for the group; 0 for none. */
  steplease::MapVersion mConfiguredMap = 0;

  bool operator==(const GroupView&) const = default;
};

/**
 * A single attempt to lead a group: queries the incarnations of all ranks,
 * requests their promises, and then grants steps until it detects another
 * leader or a restarted rank.
 */
class Leadership
{
public:
  Leadership(const global::IClock& aClock,
             GroupView aView,
             std::string aVm,
             uint64_t aIncarnation);
  ~Leadership();

  /** Sends the requests that are due. */
  void Tick();
  void SetConfiguredMap(steplease::MapVersion aMap)
  {
    mView.mConfiguredMap = aMap;
  }
  /** Whether another leader or a new incarnation of a rank was detected. */
  bool IsOver() const { return mIsOver; }
  bool IsLeading() const { return mLeader && mLeader->IsLeading(); }
  std::string StateName() const;

private:
  /** Last known state of a rank. */
  struct Rank
  {
    std::shared_ptr<v1::StepLease::Stub> mStub;
    uint64_t mIncarnation = 0;
    steplease::Step mStep = 0;
    steplease::MapVersion mPreparedMap = 0;
    bool mIsBusy = false;
  };

  void QueryIncarnations();
  void RequestPromises();
  void SendGrants();
  void SendPromiseRequest(const v1::PromiseRequest& aRequest);
  void SendGrantRequest(const v1::GrantRequest& aRequest);
  void HandlePromiseReply(int aRank,
                          const steplease::Epoch& aEpoch,
                          const v1::PromiseReply& aReply);
  void HandleGrantReply(int aRank, const v1::GrantReply& aReply);
  void CreateLeader();
  steplease::Step SlowestStep() const;
  steplease::MapVersion NextMap() const;

  const global::IClock& mClock;
  GroupView mView;
  const std::string mVm;
  const uint64_t mIncarnation;
  std::vector<Rank> mRanks;
  std::optional<steplease::GroupLead> mLeader;
  uint64_t mHighestCounter = 0;
  bool mIsOver = false;
  /** Time before which no grant is sent. */
  global::TimePoint mGrantDeadline{};
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

}
