#include "steplease/grouplead.h"
#include "steplease/ranklease.h"

#include <CppUTest/TestHarness.h>
#include <deque>
#include <set>

using namespace beryllever::steplease;

namespace {

/** Faults that are planted to show that the exploration finds them. */
enum class Plant
{
  None,
  /** The lead takes one rank's promise for all. */
  OnePromise,
  /** The lead starts from the shortest schedule. */
  ShortestSchedule,
  /** Ranks do not keep the incarnations that leads have aimed at. */
  NoVector,
};

struct Bounds
{
  size_t mRanks;
  Step mHorizon;
  int mRestarts;
  size_t mLeads;
};

/** A whole system: ranks, leads, and every message ever sent, which may come at
 * any time and again. */
struct World
{
  std::vector<RankLease> mRanks;
  std::vector<std::optional<GroupLead>> mLeads;
  std::set<PromiseRequest> mPromises;
  std::set<PromiseReply> mReplies;
  std::set<GrantRequest> mGrants;
  int mRestarts = 0;

  // Version 14 of the linter takes the defaulted comparison for a literal zero.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const World&) const = default;
};

class Exploration
{
public:
  Exploration(Bounds aBounds, Plant aPlant)
    : mBounds(aBounds)
    , mPlant(aPlant)
  {
    World start;
    for (size_t i = 0; i < aBounds.mRanks; ++i) {
      start.mRanks.emplace_back(
        static_cast<int>(i), aBounds.mRanks, 1, Schedule());
    }
    start.mLeads.resize(aBounds.mLeads);
    Visit(start);
  }

  /** Whether in no reachable world two ranks have different maps for a step. */
  bool Holds()
  {
    while (!mTodo.empty()) {
      const World world = *mTodo.front();
      mTodo.pop_front();
      if (!IsSafe(world)) {
        return false;
      }
      Expand(world);
    }
    return true;
  }

  size_t Count() const { return mSeen.size(); }

private:
  static bool IsSafe(const World& aWorld)
  {
    for (const RankLease& left : aWorld.mRanks) {
      for (const RankLease& right : aWorld.mRanks) {
        if (!left.Granted().AgreesWith(right.Granted())) {
          return false;
        }
      }
    }
    return true;
  }

  void Visit(const World& aWorld)
  {
    if (const auto [it, isNew] = mSeen.insert(aWorld); isNew) {
      mTodo.push_back(&*it);
    }
  }

  void Expand(const World& aWorld)
  {
    for (size_t i = 0; i < mBounds.mLeads; ++i) {
      aWorld.mLeads[i] ? Extend(aWorld, i) : StartLead(aWorld, i);
    }
    for (const PromiseRequest& request : aWorld.mPromises) {
      World next = aWorld;
      RankLease& rank = next.mRanks[static_cast<size_t>(request.mRank)];
      const PromiseReply reply = rank.TakePromise(request);
      if (reply.mIsPromised) {
        next.mReplies.insert(reply);
        ForgetVector(rank, request.mRank);
        Visit(next);
      }
    }
    for (const PromiseReply& reply : aWorld.mReplies) {
      World next = aWorld;
      GroupLead& lead = *next.mLeads[reply.mEpoch.mCounter - 1];
      Deliver(lead, reply);
      Visit(next);
    }
    for (const GrantRequest& grant : aWorld.mGrants) {
      World next = aWorld;
      next.mRanks[static_cast<size_t>(grant.mRank)].TakeGrant(grant);
      Visit(next);
    }
    Restart(aWorld);
  }

  void StartLead(const World& aWorld, size_t aIndex)
  {
    World next = aWorld;
    Incarnations incarnations;
    for (const RankLease& rank : aWorld.mRanks) {
      incarnations.push_back(rank.Incarnation());
    }
    next.mLeads[aIndex].emplace(Epoch{ aIndex + 1, "vm", 1 }, incarnations);
    for (const PromiseRequest& request :
         next.mLeads[aIndex]->PromiseRequests()) {
      next.mPromises.insert(request);
    }
    Visit(next);
  }

  void Extend(const World& aWorld, size_t aIndex)
  {
    if (!aWorld.mLeads[aIndex]->IsLeading() ||
        aWorld.mLeads[aIndex]->Granted().Horizon() >= mBounds.mHorizon) {
      return;
    }
    World next = aWorld;
    GroupLead& lead = *next.mLeads[aIndex];
    lead.Extend(aIndex + 1, lead.Granted().Horizon() + 1);
    for (const GrantRequest& grant : lead.GrantRequests()) {
      next.mGrants.insert(grant);
    }
    Visit(next);
  }

  void Restart(const World& aWorld)
  {
    if (aWorld.mRestarts >= mBounds.mRestarts) {
      return;
    }
    for (size_t i = 0; i < mBounds.mRanks; ++i) {
      World next = aWorld;
      ++next.mRestarts;
      const RankLease& old = aWorld.mRanks[i];
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
    if (mPlant == Plant::ShortestSchedule) {
      reply.mSchedule = Schedule();
    }
    aLead.TakePromise(reply);
    if (mPlant != Plant::OnePromise) {
      return;
    }
    for (const PromiseRequest& missing : aLead.PromiseRequests()) {
      PromiseReply forged = reply;
      forged.mRank = missing.mRank;
      forged.mIncarnation =
        missing.mIncarnations[static_cast<size_t>(missing.mRank)];
      aLead.TakePromise(forged);
    }
  }

  void ForgetVector(RankLease& aRank, int aIndex) const
  {
    if (mPlant != Plant::NoVector) {
      return;
    }
    // A rank with the same promise that has not kept the vector.
    RankLease fresh(
      aIndex, mBounds.mRanks, aRank.Incarnation(), aRank.Granted());
    PromiseRequest own{ aRank.Promised(),
                        aIndex,
                        Incarnations(mBounds.mRanks, 0) };
    own.mIncarnations[static_cast<size_t>(aIndex)] = aRank.Incarnation();
    fresh.TakePromise(own);
    aRank = fresh;
  }

  const Bounds mBounds;
  const Plant mPlant;
  std::set<World> mSeen;
  std::deque<const World*> mTodo;
};

}

TEST_GROUP(Exploration){};

TEST(Exploration, NoStepHasTwoMapsWithTwoRanks)
{
  Exploration exploration(
    { .mRanks = 2, .mHorizon = 3, .mRestarts = 2, .mLeads = 2 }, Plant::None);

  CHECK(exploration.Holds());
  CHECK(exploration.Count() > 1000);
}

TEST(Exploration, NoStepHasTwoMapsWithThreeRanks)
{
  Exploration exploration(
    { .mRanks = 3, .mHorizon = 1, .mRestarts = 1, .mLeads = 2 }, Plant::None);

  CHECK(exploration.Holds());
  CHECK(exploration.Count() > 1000);
}

TEST(Exploration, NoStepHasTwoMapsWithThreeLeads)
{
  Exploration exploration(
    { .mRanks = 2, .mHorizon = 2, .mRestarts = 1, .mLeads = 3 }, Plant::None);

  CHECK(exploration.Holds());
}

TEST(Exploration, ALeadThatTakesOnePromiseForAllIsFound)
{
  CHECK_FALSE(
    Exploration({ .mRanks = 2, .mHorizon = 2, .mRestarts = 0, .mLeads = 2 },
                Plant::OnePromise)
      .Holds());
}

TEST(Exploration, ALeadThatStartsFromTheShortestScheduleIsFound)
{
  CHECK_FALSE(
    Exploration({ .mRanks = 2, .mHorizon = 2, .mRestarts = 0, .mLeads = 2 },
                Plant::ShortestSchedule)
      .Holds());
}

TEST(Exploration, RanksThatForgetTheIncarnationsOfOthersAreFound)
{
  CHECK_FALSE(
    Exploration({ .mRanks = 2, .mHorizon = 1, .mRestarts = 1, .mLeads = 2 },
                Plant::NoVector)
      .Holds());
}
