#include "steplease/grouplead.h"
#include "steplease/ranklease.h"

#include <CppUTest/TestHarness.h>
#include <deque>
#include <set>

using namespace beryllever::steplease;

namespace {

/** Faults that are injected to show that the exploration finds them. */
enum class InjectedFault
{
  None,
  /** The lead treats one rank's promise as the promise of all. */
  OnePromise,
  /** The lead ignores the schedules that ranks have been granted. */
  IgnoredSchedules,
  /** Ranks do not keep the incarnations that leads have addressed. */
  ForgottenIncarnations,
};

struct Bounds
{
  size_t mRanks;
  Step mHorizon;
  int mRestarts;
  size_t mLeads;
};

/** State of the whole system: ranks, leads, and all messages ever sent, each of
 * which may be delivered at any time and any number of times. */
struct SystemState
{
  std::vector<RankLease> mRanks;
  std::vector<std::optional<GroupLead>> mLeads;
  std::set<PromiseRequest> mPromises;
  std::set<PromiseReply> mReplies;
  std::set<GrantRequest> mGrants;
  int mRestarts = 0;

  // clang-tidy 14 mistakes the defaulted comparison for a literal zero.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const SystemState&) const = default;
};

/** Exhaustive breadth-first search of the states that are reachable within
 * bounds. */
class Exploration
{
public:
  Exploration(Bounds aBounds, InjectedFault aFault)
    : mBounds(aBounds)
    , mFault(aFault)
  {
    SystemState start;
    for (size_t i = 0; i < aBounds.mRanks; ++i) {
      start.mRanks.emplace_back(
        static_cast<int>(i), aBounds.mRanks, 1, Schedule());
    }
    start.mLeads.resize(aBounds.mLeads);
    Visit(start);
  }

  /** Whether the schedules granted to the ranks agree in each reachable state:
   * no two of them have different maps for the same step. Stops at the first
   * state that violates this. */
  bool InvariantHolds()
  {
    while (!mQueue.empty()) {
      const SystemState state = *mQueue.front();
      mQueue.pop_front();
      if (!IsSafe(state)) {
        return false;
      }
      Expand(state);
    }
    return true;
  }

  /** Number of distinct states found so far. */
  size_t Count() const { return mVisited.size(); }

private:
  static bool IsSafe(const SystemState& aState)
  {
    for (const RankLease& left : aState.mRanks) {
      for (const RankLease& right : aState.mRanks) {
        if (!left.Granted().AgreesWith(right.Granted())) {
          return false;
        }
      }
    }
    return true;
  }

  void Visit(const SystemState& aState)
  {
    if (const auto [it, isNew] = mVisited.insert(aState); isNew) {
      mQueue.push_back(&*it);
    }
  }

  void Expand(const SystemState& aState)
  {
    for (size_t i = 0; i < mBounds.mLeads; ++i) {
      aState.mLeads[i] ? Extend(aState, i) : StartLead(aState, i);
    }
    for (const PromiseRequest& request : aState.mPromises) {
      SystemState next = aState;
      RankLease& rank = next.mRanks[static_cast<size_t>(request.mRank)];
      const PromiseReply reply = rank.HandlePromiseRequest(request);
      if (reply.mIsPromised) {
        next.mReplies.insert(reply);
        ForgetIncarnations(rank, request.mRank);
        Visit(next);
      }
    }
    for (const PromiseReply& reply : aState.mReplies) {
      SystemState next = aState;
      GroupLead& lead = *next.mLeads[reply.mEpoch.mCounter - 1];
      Deliver(lead, reply);
      Visit(next);
    }
    for (const GrantRequest& grant : aState.mGrants) {
      SystemState next = aState;
      next.mRanks[static_cast<size_t>(grant.mRank)].HandleGrantRequest(grant);
      Visit(next);
    }
    Restart(aState);
  }

  void StartLead(const SystemState& aState, size_t aIndex)
  {
    SystemState next = aState;
    Incarnations incarnations;
    for (const RankLease& rank : aState.mRanks) {
      incarnations.push_back(rank.Incarnation());
    }
    next.mLeads[aIndex].emplace(Epoch{ aIndex + 1, "vm", 1 }, incarnations);
    for (const PromiseRequest& request :
         next.mLeads[aIndex]->PromiseRequests()) {
      next.mPromises.insert(request);
    }
    Visit(next);
  }

  void Extend(const SystemState& aState, size_t aIndex)
  {
    if (!aState.mLeads[aIndex]->IsLeading() ||
        aState.mLeads[aIndex]->Granted().Horizon() >= mBounds.mHorizon) {
      return;
    }
    SystemState next = aState;
    GroupLead& lead = *next.mLeads[aIndex];
    lead.Extend(aIndex + 1, lead.Granted().Horizon() + 1);
    for (const GrantRequest& grant : lead.GrantRequests()) {
      next.mGrants.insert(grant);
    }
    Visit(next);
  }

  void Restart(const SystemState& aState)
  {
    if (aState.mRestarts >= mBounds.mRestarts) {
      return;
    }
    for (size_t i = 0; i < mBounds.mRanks; ++i) {
      SystemState next = aState;
      ++next.mRestarts;
      const RankLease& old = aState.mRanks[i];
      next.mRanks[i] = RankLease(static_cast<int>(i),
                                 mBounds.mRanks,
                                 old.Incarnation() + 1,
                                 old.Granted());
      Visit(next);
    }
  }

  void Deliver(GroupLead& aLead, const PromiseReply& aReply) const
  {
    PromiseReply reply = aReply;
    if (mFault == InjectedFault::IgnoredSchedules) {
      reply.mSchedule = Schedule();
    }
    aLead.HandlePromiseReply(reply);
    if (mFault != InjectedFault::OnePromise) {
      return;
    }
    for (const PromiseRequest& missing : aLead.PromiseRequests()) {
      PromiseReply forged = reply;
      forged.mRank = missing.mRank;
      forged.mIncarnation =
        missing.mIncarnations[static_cast<size_t>(missing.mRank)];
      aLead.HandlePromiseReply(forged);
    }
  }

  void ForgetIncarnations(RankLease& aRank, int aIndex) const
  {
    if (mFault != InjectedFault::ForgottenIncarnations) {
      return;
    }
    // A rank with the same promise that has not kept the incarnations of
    // others.
    RankLease fresh(
      aIndex, mBounds.mRanks, aRank.Incarnation(), aRank.Granted());
    PromiseRequest own{ aRank.Promised(),
                        aIndex,
                        Incarnations(mBounds.mRanks, 0) };
    own.mIncarnations[static_cast<size_t>(aIndex)] = aRank.Incarnation();
    fresh.HandlePromiseRequest(own);
    aRank = fresh;
  }

  const Bounds mBounds;
  const InjectedFault mFault;
  std::set<SystemState> mVisited;
  std::deque<const SystemState*> mQueue;
};

}

TEST_GROUP(Exploration){};

TEST(Exploration, NoStepHasTwoMapsWithTwoRanks)
{
  Exploration exploration(
    { .mRanks = 2, .mHorizon = 3, .mRestarts = 2, .mLeads = 2 },
    InjectedFault::None);

  CHECK(exploration.InvariantHolds());
  CHECK(exploration.Count() > 1000);
}

TEST(Exploration, NoStepHasTwoMapsWithThreeRanks)
{
  Exploration exploration(
    { .mRanks = 3, .mHorizon = 1, .mRestarts = 1, .mLeads = 2 },
    InjectedFault::None);

  CHECK(exploration.InvariantHolds());
  CHECK(exploration.Count() > 1000);
}

TEST(Exploration, NoStepHasTwoMapsWithThreeLeads)
{
  Exploration exploration(
    { .mRanks = 2, .mHorizon = 2, .mRestarts = 1, .mLeads = 3 },
    InjectedFault::None);

  CHECK(exploration.InvariantHolds());
}

TEST(Exploration, ALeadThatTreatsOnePromiseAsThatOfAllIsDetected)
{
  CHECK_FALSE(
    Exploration({ .mRanks = 2, .mHorizon = 2, .mRestarts = 0, .mLeads = 2 },
                InjectedFault::OnePromise)
      .InvariantHolds());
}

TEST(Exploration, ALeadThatIgnoresGrantedSchedulesIsDetected)
{
  CHECK_FALSE(
    Exploration({ .mRanks = 2, .mHorizon = 2, .mRestarts = 0, .mLeads = 2 },
                InjectedFault::IgnoredSchedules)
      .InvariantHolds());
}

TEST(Exploration, RanksThatForgetTheIncarnationsOfOthersAreDetected)
{
  CHECK_FALSE(
    Exploration({ .mRanks = 2, .mHorizon = 1, .mRestarts = 1, .mLeads = 2 },
                InjectedFault::ForgottenIncarnations)
      .InvariantHolds());
}
