#include "mesh/membertable.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever;
using namespace beryllever::mesh;

namespace {

Member
MemberNamed(const std::string& aVm, uint64_t aIncarnation, uint64_t aHeartbeat)
{
  return { .mVm = aVm,
           .mRole = kGatewayRole,
           .mIncarnation = aIncarnation,
           .mHeartbeat = aHeartbeat,
           .mIsServing = true };
}

}

TEST_GROUP(MemberTable)
{
  global::ManualClock mClock;
  MemberTable mTable{ mClock, MemberNamed("self", 1, 1) };
};

TEST(MemberTable, ExpiresASilentProcessWithinThreeSeconds)
{
  mTable.Merge(MemberNamed("x", 1, 1));
  LONGS_EQUAL(1, mTable.Alive().size());

  mClock.Advance(std::chrono::seconds(3));

  LONGS_EQUAL(1, mTable.Expire().size());
  LONGS_EQUAL(0, mTable.Alive().size());
  LONGS_EQUAL(0, mTable.Expire().size());
}

TEST(MemberTable, RelayedOldHeartbeatsDoNotDelayExpiry)
{
  mTable.Merge(MemberNamed("x", 1, 7));
  for (int i = 0; i < 40; ++i) {
    mClock.Advance(std::chrono::milliseconds(100));
    CHECK(mTable.Merge(MemberNamed("x", 1, 7)) == MergeResult::Ignored);
    CHECK(mTable.Merge(MemberNamed("x", 1, 6)) == MergeResult::Ignored);
  }
  LONGS_EQUAL(0, mTable.Alive().size());
}

TEST(MemberTable, AnOlderIncarnationNeverReplacesANewerOne)
{
  mTable.Merge(MemberNamed("x", 2, 1));

  CHECK(mTable.Merge(MemberNamed("x", 1, 100)) == MergeResult::Ignored);
  CHECK(mTable.Merge(MemberNamed("x", 3, 1)) == MergeResult::Joined);
}

TEST(MemberTable, ReportsThatAProcessNoLongerServes)
{
  mTable.Merge(MemberNamed("x", 1, 1));
  Member leaving = MemberNamed("x", 1, 2);
  leaving.mIsServing = false;

  CHECK(mTable.Merge(leaving) == MergeResult::Changed);
}

TEST(MemberTable, CountsSilentGatewaysThatMayBeAlive)
{
  mTable.Merge(MemberNamed("x", 1, 1));
  mTable.Merge(MemberNamed("y", 1, 1));
  mClock.Advance(std::chrono::seconds(5));
  mTable.Expire();

  LONGS_EQUAL(3, mTable.GatewayCount());
  LONGS_EQUAL(3, mTable.KnownGateways().size());
}

TEST(MemberTable, KnowsAllGatewaysWhenNoneHasAppearedForAWhile)
{
  CHECK_FALSE(mTable.KnowsAllGateways());
  mTable.Merge(MemberNamed("x", 1, 1));
  mClock.Advance(std::chrono::milliseconds(1500));
  mTable.Merge(MemberNamed("y", 1, 1));
  mClock.Advance(std::chrono::milliseconds(1500));
  CHECK_FALSE(mTable.KnowsAllGateways());

  mClock.Advance(std::chrono::milliseconds(500));

  CHECK(mTable.KnowsAllGateways());
}

TEST(MemberTable, AGatewayThatHearsNobodyDoesNotKnowAll)
{
  mClock.Advance(std::chrono::minutes(5));

  CHECK_FALSE(mTable.KnowsAllGateways());
}

TEST(MemberTable, TakesTheNumberOfGatewaysFromOneThatKnowsThem)
{
  Member settled = MemberNamed("x", 1, 1);
  settled.mKnownGateways = 40;

  mTable.Merge(settled);

  CHECK(mTable.KnowsAllGateways());
  LONGS_EQUAL(40, mTable.GatewayCount());
}
