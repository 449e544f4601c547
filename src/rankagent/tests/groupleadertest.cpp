#include "rankagent/internal/groupleader.h"
#include "rankagent/tests/enginemodel.h"
#include "transport/post.h"

#include <CppUTest/TestHarness.h>
#include <QCoreApplication>
#include <QDeadlineTimer>
#include <algorithm>
#include <map>

using namespace beryllever;
using namespace beryllever::rankagent;
using std::chrono::milliseconds;

namespace {

constexpr size_t kRanks = 3;
constexpr milliseconds kPassInterval{ 10 };
constexpr milliseconds kWaitTimeout{ 5000 };

/** Simulated group that starts passes periodically unless a rank holds the next
 * one. */
class SimulatedGroup : public IGroupPort
{
public:
  SimulatedGroup()
  {
    for (uint32_t rank = 0; rank < kRanks; ++rank) {
      mRanks.push_back({ .mGroup = "g",
                         .mEpoch = 1,
                         .mRank = rank,
                         .mSize = kRanks,
                         .mIsOpen = true,
                         .mRequests = 1 });
    }
    QObject::connect(&mTimer, &QTimer::timeout, &mTimer, [this] { Pass(); });
    mTimer.start(kPassInterval);
  }

  uint64_t Step() const { return mRanks[0].mStep; }
  void Freeze() { mTimer.stop(); }
  RankState& Rank(uint32_t aRank) { return mRanks[aRank]; }
  bool IsHeld() const
  {
    return std::any_of(
      mRanks.begin(), mRanks.end(), [](const RankState& aRank) {
        return aRank.mHeldStep != 0;
      });
  }
  int Orders() const { return mOrders; }
  /** Number of times that all ranks were read. */
  int Rounds() const { return mRounds; }
  int PrepareOrders() const { return mPrepareOrders; }
  /** Calls a function at the next order. */
  void SetOnOrder(std::function<void()> aOnOrder)
  {
    mOnOrder = std::move(aOnOrder);
  }
  /** Orders to prepare are not answered from now on, and another leader
   * prepares a version above the first one. */
  void DelayPrepareOrders() { mDelaysPrepareOrders = true; }
  /** Number of delayed orders of each version for a rank. */
  const std::map<uint64_t, int>& DelayedOrders() const
  {
    return mDelayedOrders;
  }

  /** The rank cannot be read, as if its machine were frozen. */
  void SetReadable(uint32_t aRank, bool aIsReadable)
  {
    mUnreadable = aIsReadable ? std::nullopt : std::optional(aRank);
  }
  void SetEligible(std::vector<uint32_t> aRanks) { mEligible = aRanks; }

  std::vector<uint32_t> LiveRanks() const override { return { 0, 2 }; }
  std::vector<uint32_t> EligibleRanks() const override { return mEligible; }
  std::vector<uint32_t> RanksToCount() const override { return { 1, 0, 2 }; }

  void Sample(uint32_t aRank, SampleDepth, OnSample aOnSample) override
  {
    transport::Post(&mTimer, [this, aRank, aOnSample] {
      if (mUnreadable == aRank) {
        aOnSample(std::nullopt);
        return;
      }
      aOnSample(
        RankSample{ .mState = mRanks[aRank], .mExperts = { { aRank } } });
      mRounds += aRank + 1 == kRanks ? 1 : 0;
    });
  }

  void Order(uint32_t aRank,
             const RankOrder& aOrder,
             OnOutcome aOnOutcome) override
  {
    ++mOrders;
    if (const auto onOrder = std::exchange(mOnOrder, nullptr)) {
      onOrder();
    }
    const bool isPrepare = aOrder.mOperation == RankOperation::Prepare;
    mPrepareOrders += isPrepare ? 1 : 0;
    if (isPrepare && mDelaysPrepareOrders) {
      DelayPrepareOrder(aRank, aOrder, aOnOutcome);
      return;
    }
    transport::Post(&mTimer, [this, aRank, aOrder, aOnOutcome] {
      const bool isTaken = tests::ExecuteOrder(mRanks[aRank], Step(), aOrder);
      aOnOutcome(isTaken ? OrderOutcome::Accepted : OrderOutcome::Refused);
    });
  }

  void OrderAll(const RankOrder& aOrder, OnRankOutcome aOnOutcome) override
  {
    for (uint32_t rank = 0; rank < kRanks; ++rank) {
      Order(rank, aOrder, [rank, aOnOutcome](OrderOutcome aOutcome) {
        aOnOutcome(rank, aOutcome);
      });
    }
  }

private:
  void DelayPrepareOrder(uint32_t aRank,
                         const RankOrder& aOrder,
                         const OnOutcome& aOnOutcome)
  {
    if (mDelayedOrders.empty()) {
      mRanks[2].mPreparedVersion = VersionAbove(aOrder.mVersion, 2);
    }
    if (aRank == 0) {
      ++mDelayedOrders[aOrder.mVersion];
    }
    transport::Post(&mTimer,
                    [aOnOutcome] { aOnOutcome(OrderOutcome::Unknown); });
  }

  void Pass()
  {
    const uint64_t next = Step() + 1;
    for (const RankState& rank : mRanks) {
      if (rank.mHeldStep == next) {
        return;
      }
    }
    for (RankState& rank : mRanks) {
      rank.mStep = next;
    }
  }

  std::vector<RankState> mRanks;
  std::optional<uint32_t> mUnreadable;
  std::vector<uint32_t> mEligible{ 0, 2 };
  std::function<void()> mOnOrder;
  int mRounds = 0;
  int mOrders = 0;
  int mPrepareOrders = 0;
  bool mDelaysPrepareOrders = false;
  std::map<uint64_t, int> mDelayedOrders;
  QTimer mTimer;
};

}

TEST_GROUP(GroupLeader)
{
  global::SteadyClock mClock;
  metrics::Metrics mMetrics;
  SimulatedGroup mGroup;
  GroupLeader mLeader{ mClock, mGroup, mMetrics };
  QTimer mReader;

  void setup() override
  {
    mLeader.SetEngine({ .mExpertLayers = 1, .mExperts = 3 });
    QObject::connect(&mReader, &QTimer::timeout, &mReader, [this] {
      mLeader.SetRank(mGroup.Rank(1));
    });
    mReader.start(milliseconds(10));
    mLeader.Start();
  }

  template<typename Condition>
  bool ProcessEventsUntil(Condition aCondition)
  {
    const QDeadlineTimer deadline(kWaitTimeout);
    while (!aCondition() && !deadline.hasExpired()) {
      QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
    }
    return aCondition();
  }
};

TEST(GroupLeader, TheSecondLeaderClearsAnAbandonedHold)
{
  // Arrange: the first leader holds an upcoming pass and then freezes.
  CHECK(ProcessEventsUntil([&] { return mLeader.MayLead(); }));
  const uint64_t held = mGroup.Step() + 2;
  mGroup.Rank(0).mHeldStep = held;
  CHECK(ProcessEventsUntil([&] { return mGroup.Step() == held - 1; }));
  const QDeadlineTimer callerTimeout(milliseconds(2000));

  // Act
  const bool resumes = ProcessEventsUntil([&] { return mGroup.Step() > held; });

  // Assert: the group resumes before callers abandon streams that are silent
  // for 2 s.
  CHECK(resumes);
  CHECK(!callerTimeout.hasExpired());
}

/** Guards against leaders that fight over a pass when the owner of a hold wakes
 * from a freeze and goes on with its change. */
TEST(GroupLeader, GivesAnOwnerThatCanBeReadAgainTheTimeOfAChange)
{
  // Arrange: the first leader holds the next pass and freezes.
  CHECK(ProcessEventsUntil([&] { return mLeader.MayLead(); }));
  mGroup.SetReadable(0, false);
  const uint64_t held = mGroup.Step() + 2;
  mGroup.Rank(0).mHeldStep = held;
  const QDeadlineTimer freeze(milliseconds(1500));
  ProcessEventsUntil([&] { return freeze.hasExpired(); });
  LONGS_EQUAL(0, mGroup.Orders());

  // Act
  mGroup.SetReadable(0, true);

  // Assert: the owner has time for its change, but not without end.
  const QDeadlineTimer change(milliseconds(400));
  ProcessEventsUntil([&] { return change.hasExpired(); });
  LONGS_EQUAL(0, mGroup.Orders());
  CHECK(ProcessEventsUntil([&] { return mGroup.Step() > held; }));
}

/** Guards against two leaders that clear the same pass at the same time and
 * invalidate each other's orders. */
TEST(GroupLeader, GivesTheTimeOfAChangeToALeaderThatClearsAHold)
{
  // Arrange: the leader of rank 0 is dead and holds a pass.
  mGroup.SetEligible({ 2 });
  CHECK(ProcessEventsUntil([&] { return mGroup.Rounds() > 0; }));
  mGroup.Rank(0).mHeldStep = mGroup.Step() + 2;
  const int rounds = mGroup.Rounds();
  CHECK(ProcessEventsUntil([&] { return mGroup.Rounds() > rounds; }));
  LONGS_EQUAL(0, mGroup.Orders());

  // Act: another leader places its own hold.
  mGroup.Rank(2).mHeldStep = mGroup.Rank(0).mHeldStep;

  // Assert
  const QDeadlineTimer change(milliseconds(400));
  ProcessEventsUntil([&] { return change.hasExpired(); });
  LONGS_EQUAL(0, mGroup.Orders());
  CHECK(ProcessEventsUntil([&] { return !mGroup.IsHeld(); }));
}

/** Guards against a leader that clears at the same time as the one before it,
 * once the owner of the hold is not known to be alive any more. */
TEST(GroupLeader, LetsAPrecedingLeaderClearFirst)
{
  // Arrange
  CHECK(ProcessEventsUntil([&] { return mLeader.MayLead(); }));
  mGroup.SetEligible({ 0 });
  const QDeadlineTimer gossip(milliseconds(700));
  ProcessEventsUntil([&] { return gossip.hasExpired(); });

  // Act: a rank whose agent is dead holds the next pass.
  mGroup.Rank(2).mHeldStep = mGroup.Step() + 2;

  // Assert
  const QDeadlineTimer turn(milliseconds(600));
  ProcessEventsUntil([&] { return turn.hasExpired(); });
  LONGS_EQUAL(0, mGroup.Orders());
  CHECK(ProcessEventsUntil([&] { return !mGroup.IsHeld(); }));
}

TEST(GroupLeader, ReportsAStalledGroup)
{
  CHECK(ProcessEventsUntil([&] { return mLeader.MayLead(); }));
  CHECK_FALSE(mLeader.IsStalledFor(milliseconds(200)));

  // No passes start any more, as if the rank that holds one did not answer.
  mGroup.Freeze();

  CHECK(ProcessEventsUntil(
    [&] { return mLeader.IsStalledFor(milliseconds(200)); }));
}

TEST(GroupLeader, TheSecondLeaderPreparesNoMapWhileTheGroupRuns)
{
  CHECK(ProcessEventsUntil([&] { return mLeader.MayLead(); }));
  const uint64_t begin = mGroup.Step();

  CHECK(ProcessEventsUntil([&] { return mGroup.Step() > begin + 100; }));

  LONGS_EQUAL(0, mGroup.PrepareOrders());
}

TEST(GroupLeader, OnlyReleasesAPassThatItHasReleasedBefore)
{
  // Arrange: the leader clears two passes, one after the other.
  CHECK(ProcessEventsUntil([&] { return mLeader.MayLead(); }));
  mGroup.Freeze();
  const uint64_t first = mGroup.Step() + 1;
  for (const uint64_t step : { first, first + 2 }) {
    mGroup.Rank(0).mHeldStep = step;
    CHECK(ProcessEventsUntil([&] { return !mGroup.IsHeld(); }));
  }
  const int orders = mGroup.PrepareOrders();

  // Act: a hold of the first pass is executed late.
  mGroup.Rank(1).mHeldStep = first;

  // Assert
  CHECK(ProcessEventsUntil([&] { return !mGroup.IsHeld(); }));
  LONGS_EQUAL(orders, mGroup.PrepareOrders());
}

TEST(GroupLeader, GivesNoOrderToAGroupThatItsRankHasLeft)
{
  // Arrange: the local rank moves to another group while a pass is held.
  constexpr milliseconds kObservation{ 1000 };
  CHECK(ProcessEventsUntil([&] { return mLeader.MayLead(); }));
  mReader.stop();
  mGroup.Freeze();
  mGroup.Rank(0).mHeldStep = mGroup.Step() + 1;
  RankState moved = mGroup.Rank(1);
  moved.mGroup = "other";

  // Act
  mLeader.SetRank(moved);

  // Assert
  const QDeadlineTimer end(kObservation);
  ProcessEventsUntil([&] { return end.hasExpired(); });
  LONGS_EQUAL(0, mGroup.Orders());
}

/** Guards against groups that stand because their leader begins a change
 * shortly before its process exits. */
TEST(GroupLeader, AStoppedLeaderEndsItsChangeAndBeginsNoOther)
{
  // Arrange: no order to prepare is answered, so changes are begun again and
  // again.
  constexpr milliseconds kObservation{ 1000 };
  CHECK(ProcessEventsUntil([&] { return mLeader.MayLead(); }));
  mGroup.Rank(0).mHeldStep = mGroup.Step() + 2;
  mGroup.DelayPrepareOrders();
  bool wasIdle = true;

  // Act
  mGroup.SetOnOrder([&] {
    wasIdle = mLeader.IsIdle();
    mLeader.BeginStop();
  });

  // Assert
  CHECK(ProcessEventsUntil([&] { return !mLeader.MayLead(); }));
  CHECK_FALSE(wasIdle);
  CHECK(ProcessEventsUntil([&] { return mLeader.IsIdle(); }));
  const int orders = mGroup.Orders();
  const QDeadlineTimer end(kObservation);
  ProcessEventsUntil([&] { return end.hasExpired(); });
  LONGS_EQUAL(orders, mGroup.Orders());
}

TEST(GroupLeader, GivesTheVersionOfAFailedChangeToNoOther)
{
  // Arrange: another leader leaves a hold and no order to prepare is answered.
  constexpr int kMaxOrdersInAChange = 12;
  CHECK(ProcessEventsUntil([&] { return mLeader.MayLead(); }));
  mGroup.Rank(0).mHeldStep = mGroup.Step() + 2;
  mGroup.DelayPrepareOrders();

  // Act
  CHECK(ProcessEventsUntil([&] { return mGroup.DelayedOrders().size() >= 3; }));

  // Assert
  for (const auto& [version, orders] : mGroup.DelayedOrders()) {
    CHECK(orders <= kMaxOrdersInAChange);
  }
}
