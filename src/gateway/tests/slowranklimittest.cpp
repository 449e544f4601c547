#include "gateway/endpointbalancer.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever;
using namespace beryllever::gateway;

namespace {

constexpr int kRanks = 8;
constexpr int kSlots = 10;
constexpr int kLimit = 14;

std::string
RankName(int aRank)
{
  return "rank-" + std::to_string(aRank);
}

}

TEST_GROUP(SlowRankLimit)
{
  global::ManualClock mClock;
  EndpointBalancer mBalancer{ mClock, 1 };
  int mExpertLayers = 4;
  std::map<std::string, int> mSent;

  void Report(int aRank, double aSlowdown)
  {
    const std::string id = RankName(aRank);
    mBalancer.RecordReport(id, { mSent[id], true, aSlowdown, mClock.Now() });
  }

  void ReportAll(double aSlowdown)
  {
    for (int i = 0; i < kRanks; ++i) {
      Report(i, aSlowdown);
    }
  }

  /** Sends requests of a backlog until none finds a place. */
  void SendBacklog()
  {
    auto configuration = std::make_shared<published::Configuration>();
    configuration->mPools["engines"] = { .mName = "engines",
                                         .mEngine = published::EngineProfile{
                                           .mExpertLayers = mExpertLayers } };
    published::Snapshot::Endpoints endpoints;
    for (int i = 0; i < kRanks; ++i) {
      endpoints[RankName(i)] = { .mId = RankName(i),
                                 .mPool = "engines",
                                 .mAddress = { "127.0.0.1", 1 },
                                 .mAvailabilityZone = "a",
                                 .mSlots = kSlots };
    }
    const published::Snapshot snapshot(configuration, endpoints, {}, 1);
    for (;;) {
      const Placement placement =
        mBalancer.Choose(snapshot, { "engines", "a", {} });
      if (placement.mStatus != PlacementStatus::Chosen) {
        CHECK(placement.mStatus == PlacementStatus::AtCapacity);
        return;
      }
      mBalancer.RecordSent(placement.mEndpoint->mId);
      ++mSent[placement.mEndpoint->mId];
    }
  }
};

// Guards against a backlog that fills the one slow rank and slows the group.
TEST(SlowRankLimit, ABacklogSendsNothingToTheSlowRank)
{
  ReportAll(1);
  Report(3, 5);

  SendBacklog();

  LONGS_EQUAL(0, mSent[RankName(3)]);
  LONGS_EQUAL(kLimit, mSent[RankName(4)]);
}

// Guards against a group that is slow as a whole and gets no requests.
TEST(SlowRankLimit, ABacklogFillsAllRanksIfAllAreSlow)
{
  ReportAll(5);

  SendBacklog();

  for (int i = 0; i < kRanks; ++i) {
    LONGS_EQUAL(kLimit, mSent[RankName(i)]);
  }
}

// Guards against the loss of a large part of the places to the exclusion.
TEST(SlowRankLimit, SlowRanksAreUsedBelowTheirLimitIfManyAreSlow)
{
  ReportAll(1);
  for (int i = 0; i < 3; ++i) {
    Report(i, 5);
  }

  SendBacklog();

  LONGS_EQUAL(3, mSent[RankName(0)]);
  LONGS_EQUAL(kLimit, mSent[RankName(4)]);
}

// Guards against full use of a rank that is slower than the others, but not
// slow enough to be excluded.
TEST(SlowRankLimit, ASlowdownBelowTwoLowersTheLimit)
{
  ReportAll(1);
  Report(3, 1.5);

  SendBacklog();

  LONGS_EQUAL(9, mSent[RankName(3)]);
}

// Guards against a rank that is filled anew whenever its slowdown wavers.
TEST(SlowRankLimit, ASlowRankStaysExcludedUntilItIsClearlyFaster)
{
  ReportAll(1);
  Report(3, 2.1);
  Report(3, 1.8);
  SendBacklog();
  LONGS_EQUAL(0, mSent[RankName(3)]);

  Report(3, 1.1);
  SendBacklog();

  LONGS_EQUAL(kLimit, mSent[RankName(3)]);
}

// Guards against an exclusion that outlasts the reports of a failed agent.
TEST(SlowRankLimit, AnOldReportLimitsNothing)
{
  Report(3, 5);
  mClock.Advance(milliseconds(800));

  SendBacklog();

  LONGS_EQUAL(kLimit, mSent[RankName(3)]);
}

// Guards against a change for pools whose endpoints do not wait for each other.
TEST(SlowRankLimit, EndpointsWithoutExpertsAreNotLimited)
{
  mExpertLayers = 0;
  ReportAll(1);
  Report(3, 5);

  SendBacklog();

  LONGS_EQUAL(kLimit, mSent[RankName(3)]);
}
