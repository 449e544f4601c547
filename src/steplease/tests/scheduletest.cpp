#include "steplease/schedule.h"

#include <CppUTest/TestHarness.h>

using beryllever::steplease::Schedule;

TEST_GROUP(Schedule){};

TEST(Schedule, ANewMapStartsAtTheHorizon)
{
  Schedule schedule;
  schedule.Append(1, 10);
  schedule.Append(2, 20);

  CHECK_EQUAL(1u, *schedule.MapAt(9));
  CHECK_EQUAL(2u, *schedule.MapAt(10));
  CHECK_FALSE(schedule.MapAt(20).has_value());
}

TEST(Schedule, AnExtensionHasTheSameMapsAndNoLowerHorizon)
{
  Schedule shorter;
  shorter.Append(1, 10);
  Schedule longer = shorter;
  longer.Append(2, 20);
  Schedule other;
  other.Append(3, 30);

  CHECK(longer.Extends(shorter));
  CHECK_FALSE(shorter.Extends(longer));
  CHECK_FALSE(other.Extends(shorter));
}

TEST(Schedule, TrimmedStepsDoNotAffectAgreement)
{
  Schedule whole;
  whole.Append(1, 10);
  whole.Append(2, 20);
  Schedule trimmed = whole;
  trimmed.TrimBefore(12);

  CHECK_EQUAL(20u, trimmed.Horizon());
  CHECK(whole.Extends(trimmed));
  CHECK(trimmed.Extends(whole));
}
