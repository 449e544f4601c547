#include "rankagent/internal/groupleader.h"
#include "rankagent/tests/enginemodel.h"
#include "transport/post.h"

#include <CppUTest/TestHarness.h>
#include <QCoreApplication>
#include <QDeadlineTimer>

using namespace beryllever;
using namespace beryllever::rankagent;
using std::chrono::milliseconds;

namespace {

constexpr size_t kRanks = 3;
constexpr milliseconds kPassTime{ 10 };
constexpr milliseconds kPatience{ 5000 };

/** A group whose passes go on by themselves unless a rank holds one. */
class ModelGroup : public IGroupPort
{
public:
  ModelGroup()
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
    mTimer.start(kPassTime);
  }

  uint64_t Step() const { return mRanks[0].mStep; }
  void Freeze() { mTimer.stop(); }
  RankState& At(uint32_t aRank) { return mRanks[aRank]; }
  int Prepared() const { return mPrepared; }

  std::vector<uint32_t> LiveRanks() const override { return { 0, 2 }; }
  std::vector<uint32_t> LiveLeads() const override { return { 0, 2 }; }
  std::vector<uint32_t> NearRanks() const override { return { 1, 0, 2 }; }

  void Sample(uint32_t aRank, SampleDepth, OnSample aOnSample) override
  {
    transport::Post(&mTimer, [this, aRank, aOnSample] {
      aOnSample(
        RankSample{ .mState = mRanks[aRank], .mExperts = { { aRank } } });
    });
  }

  void Order(uint32_t aRank,
             const RankOrder& aOrder,
             OnOutcome aOnOutcome) override
  {
    mPrepared += aOrder.mOperation == RankOperation::Prepare ? 1 : 0;
    transport::Post(&mTimer, [this, aRank, aOrder, aOnOutcome] {
      const bool isTaken = tests::CarryOut(mRanks[aRank], Step(), aOrder);
      aOnOutcome(isTaken ? OrderOutcome::Taken : OrderOutcome::Refused);
    });
  }

private:
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
  int mPrepared = 0;
  QTimer mTimer;
};

}

TEST_GROUP(GroupLeader)
{
  global::SteadyClock mClock;
  metrics::Metrics mMetrics;
  ModelGroup mGroup;
  GroupLeader mLeader{ mClock, mGroup, mMetrics };
  QTimer mReader;

  void setup() override
  {
    mLeader.SetEngine({ .mExpertLayers = 1, .mExperts = 3 });
    QObject::connect(&mReader, &QTimer::timeout, &mReader, [this] {
      mLeader.SetRank(mGroup.At(1));
    });
    mReader.start(milliseconds(10));
    mLeader.Start();
  }

  template<typename Condition>
  bool TurnUntil(Condition aCondition)
  {
    const QDeadlineTimer deadline(kPatience);
    while (!aCondition() && !deadline.hasExpired()) {
      QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
    }
    return aCondition();
  }
};

TEST(GroupLeader, TheSecondLeadClearsAHoldThatTheFirstHasLeft)
{
  // Arrange: the first lead holds the next pass and stands still.
  CHECK(TurnUntil([&] { return mLeader.MayLead(); }));
  const uint64_t held = mGroup.Step() + 2;
  mGroup.At(0).mHeldStep = held;
  CHECK(TurnUntil([&] { return mGroup.Step() == held - 1; }));
  const QDeadlineTimer callersLeave(milliseconds(2000));

  // Act
  const bool goesOn = TurnUntil([&] { return mGroup.Step() > held; });

  // Assert: streams of this group have not been silent for 2 s.
  CHECK(goesOn);
  CHECK(!callersLeave.hasExpired());
}

TEST(GroupLeader, TellsThatItsGroupStandsStill)
{
  CHECK(TurnUntil([&] { return mLeader.MayLead(); }));
  CHECK_FALSE(mLeader.HasStoodStill(milliseconds(200)));

  // Nobody can let this pass go: the rank that holds it does not answer.
  mGroup.Freeze();

  CHECK(TurnUntil([&] { return mLeader.HasStoodStill(milliseconds(200)); }));
}

TEST(GroupLeader, TheSecondLeadChangesNothingWhileTheGroupGoesOn)
{
  CHECK(TurnUntil([&] { return mLeader.MayLead(); }));
  const uint64_t begin = mGroup.Step();

  CHECK(TurnUntil([&] { return mGroup.Step() > begin + 100; }));

  LONGS_EQUAL(0, mGroup.Prepared());
}
