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

TEST(MemberTable, KeepsTheHighestNumberOfGatewaysSeen)
{
  mTable.Merge(MemberNamed("x", 1, 1));
  mTable.Merge(MemberNamed("y", 1, 1));
  mClock.Advance(std::chrono::seconds(5));

  LONGS_EQUAL(3, mTable.MaxGatewaysSeen());
}
