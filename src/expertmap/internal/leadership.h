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

/** A group as its members know it from the tables. */
struct GroupView
{
  std::string mGroup;
  /** Addresses of the agents, in the order of the ranks. */
  std::vector<std::string> mAddresses;
  /** Map that operators order; 0 for none. */
  steplease::MapVersion mWantedMap = 0;

  bool operator==(const GroupView&) const = default;
};

/**
 * One attempt at leading a group: learns the ranks' incarnations, asks for
 * their promises, and then grants steps until another lead is seen.
 */
class Leadership
{
public:
  Leadership(const global::IClock& aClock,
             GroupView aView,
             std::string aVm,
             uint64_t aIncarnation);
  ~Leadership();

  /** Sends what is due. */
  void Tick();
  void SetWantedMap(steplease::MapVersion aMap) { mView.mWantedMap = aMap; }
  /** Whether another lead or another incarnation of a rank was seen. */
  bool IsOver() const { return mIsOver; }
  bool IsLeading() const { return mLead && mLead->IsLeading(); }
  std::string StateText() const;

private:
  /** What the lead knows of one rank. */
  struct Rank
  {
    std::shared_ptr<v1::StepLease::Stub> mStub;
    uint64_t mIncarnation = 0;
    steplease::Step mStep = 0;
    steplease::MapVersion mPrepared = 0;
    bool mIsBusy = false;
  };

  void Learn();
  void AskPromises();
  void Grant();
  void SendPromise(const v1::PromiseRequest& aRequest);
  void SendGrant(const v1::GrantRequest& aRequest);
  void TakePromiseReply(int aRank,
                        const steplease::Epoch& aEpoch,
                        const v1::PromiseReply& aReply);
  void TakeGrantReply(int aRank, const v1::GrantReply& aReply);
  void Begin();
  steplease::Step SlowestStep() const;
  steplease::MapVersion NextMap() const;

  const global::IClock& mClock;
  GroupView mView;
  const std::string mVm;
  const uint64_t mIncarnation;
  std::vector<Rank> mRanks;
  std::optional<steplease::GroupLead> mLead;
  uint64_t mHighestCounter = 0;
  bool mIsOver = false;
  /** No grant is sent before this time. */
  global::TimePoint mGrantDeadline{};
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

}
