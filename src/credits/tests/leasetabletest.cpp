#include "credits/leasetable.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever;
using namespace std::chrono_literals;

TEST_GROUP(LeaseTable)
{
  global::ManualClock clock;
  credits::LeaseTable leases{ clock };
};

TEST(LeaseTable, LeaseExpiresEarlierThanAtTheAgent)
{
  leases.SetLease("e", { 1, clock.Now() + 3s }, 0, 1);
  CHECK(leases.CanAcquire("e"));

  clock.Advance(2600ms);

  CHECK_FALSE(leases.CanAcquire("e"));
}

TEST(LeaseTable, SlotsAreAcquiredAndReleased)
{
  leases.SetLease("e", { 1, clock.Now() + 3s }, 0, 1);

  leases.Acquire("e");
  CHECK_FALSE(leases.CanAcquire("e"));

  leases.Release("e");
  CHECK(leases.CanAcquire("e"));
}

TEST(LeaseTable, ClearRemovesAllLeases)
{
  leases.SetLease("e", { 1, clock.Now() + 3s }, 1, 1);

  leases.RemoveAllLeases();

  CHECK_FALSE(leases.CanAcquire("e"));
}
