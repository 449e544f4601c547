#include "steplease/grouplead.h"
#include "steplease/ranklease.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <random>

using namespace beryllever::steplease;

namespace {

constexpr size_t kRanks = 256;

/** A group under message loss, duplication, reordering, restarts and successive
 * leads. */
class Group
{
public:
  explicit Group(unsigned aSeed)
    : mRandom(aSeed)
  {
    for (size_t i = 0; i < kRanks; ++i) {
      mRanks.emplace_back(static_cast<int>(i), kRanks, 1, Schedule());
    }
  }

  void TakeRandomAction()
  {
    const auto action = mRandom() % 100;
    if (mLeads.empty() || action == 0) {
      StartLead();
    } else if (action < 3) {
      Restart(mRandom() % kRanks);
    } else {
      RunLead(mLeads[mLeads.size() - 1 -
                     mRandom() % std::min<size_t>(mLeads.size(), 3)]);
    }
  }

  bool IsSafe() const
  {
    for (const RankLease& rank : mRanks) {
      if (!rank.Granted().AgreesWith(mRanks.front().Granted())) {
        return false;
      }
    }
    return true;
  }

  Step Horizon() const { return mRanks.front().Granted().Horizon(); }

private:
  void StartLead()
  {
    Incarnations incarnations;
    for (const RankLease& rank : mRanks) {
      incarnations.push_back(rank.Incarnation());
    }
    mLeads.emplace_back(Epoch{ mLeads.size() + 1, "vm", 1 }, incarnations);
  }

  void Restart(size_t aIndex)
  {
    const RankLease& old = mRanks[aIndex];
    mRanks[aIndex] = RankLease(
      static_cast<int>(aIndex), kRanks, old.Incarnation() + 1, old.Granted());
  }

  bool IsMessageLost() { return mRandom() % 10 == 0; }

  void RunLead(GroupLead& aLead)
  {
    for (const PromiseRequest& request : aLead.PromiseRequests()) {
      if (!IsMessageLost()) {
        const PromiseReply reply =
          mRanks[static_cast<size_t>(request.mRank)].HandlePromiseRequest(
            request);
        if (!IsMessageLost()) {
          aLead.HandlePromiseReply(reply);
        }
      }
    }
    if (!aLead.IsLeading()) {
      return;
    }
    aLead.Extend(aLead.OwnEpoch().mCounter,
                 aLead.Granted().Horizon() + mRandom() % 8);
    for (const GrantRequest& grant : aLead.GrantRequests()) {
      if (!IsMessageLost()) {
        mDelayedGrants.push_back(grant);
      }
    }
    std::shuffle(mDelayedGrants.begin(), mDelayedGrants.end(), mRandom);
    const size_t kept = mRandom() % (mDelayedGrants.size() + 1);
    for (size_t i = kept; i < mDelayedGrants.size(); ++i) {
      mRanks[static_cast<size_t>(mDelayedGrants[i].mRank)].HandleGrantRequest(
        mDelayedGrants[i]);
    }
    mDelayedGrants.resize(std::min<size_t>(kept, 1000));
  }

  std::mt19937 mRandom;
  std::vector<RankLease> mRanks;
  std::vector<GroupLead> mLeads;
  std::vector<GrantRequest> mDelayedGrants;
};

}

TEST_GROUP(LongRun){};

TEST(LongRun, AGroupOf256RanksUsesOneMapInEveryStep)
{
  Step totalHorizon = 0;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    Group group(seed);
    for (int i = 0; i < 300; ++i) {
      group.TakeRandomAction();
      CHECK(group.IsSafe());
    }
    totalHorizon += group.Horizon();
  }
  CHECK(totalHorizon > 100);
}
