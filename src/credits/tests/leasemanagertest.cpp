#include "credits/leasemanager.h"

#include <CppUTest/TestHarness.h>
#include <random>

using namespace beryllever;
using namespace std::chrono_literals;
using credits::Admission;

TEST_GROUP(LeaseManager)
{
  global::ManualClock clock;
  credits::LeaseManager leaseManager{ clock };
};

TEST(LeaseManager, LeasesNeverExceedTheCapacity)
{
  leaseManager.SetCapacity(4);

  CHECK_EQUAL(3, leaseManager.Renew("a", { 0, 3 }).mSlots);
  CHECK_EQUAL(1, leaseManager.Renew("b", { 0, 3 }).mSlots);
  CHECK_EQUAL(4, leaseManager.Committed());
}

TEST(LeaseManager, SharesBecomeEqualUnderContention)
{
  leaseManager.SetCapacity(4);
  leaseManager.Renew("a", { 0, 4 });
  leaseManager.Renew("b", { 0, 4 });

  leaseManager.Renew("a", { 0, 4 });
  const auto lease = leaseManager.Renew("b", { 0, 4 });

  CHECK_EQUAL(2, lease.mSlots);
}

TEST(LeaseManager, ReclaimsTheLeaseOfADeadEntry)
{
  leaseManager.SetCapacity(4);
  leaseManager.Renew("a", { 0, 4 });

  clock.Advance(4s);

  CHECK_EQUAL(4, leaseManager.Renew("b", { 0, 4 }).mSlots);
}

TEST(LeaseManager, RefusesAnEntryThatResumesAfterItsLeaseExpired)
{
  leaseManager.SetCapacity(2);
  leaseManager.Renew("a", { 0, 2 });
  clock.Advance(4s);
  leaseManager.Renew("b", { 0, 2 });

  CHECK(leaseManager.Admit("a") == Admission::LeasedToOthers);
  CHECK(leaseManager.Admit("b") == Admission::Admitted);
}

TEST(LeaseManager, ReducedCapacityAppliesToExistingLeases)
{
  leaseManager.SetCapacity(8);
  leaseManager.Renew("a", { 0, 8 });

  leaseManager.SetCapacity(1);

  CHECK(leaseManager.Admit("a") == Admission::Admitted);
  CHECK(leaseManager.Admit("a") == Admission::Full);
}

// Hundreds of entries hold leases, some of them expired, while the capacity
// changes at random: at each admission, the running requests are within the
// capacity of that time.
TEST(LeaseManager, NeverAdmitsAboveTheCapacity)
{
  for (unsigned seed = 1; seed <= 50; ++seed) {
    std::mt19937 random(seed);
    std::vector<std::string> running;
    for (int step = 0; step < 2000; ++step) {
      const std::string entry = "entry" + std::to_string(random() % 300);
      switch (random() % 6) {
        case 0:
          leaseManager.SetCapacity(static_cast<int>(random() % 33));
          break;
        case 1:
          clock.Advance(std::chrono::milliseconds(random() % 2000));
          break;
        case 2:
          if (!running.empty()) {
            leaseManager.Release(running.back());
            running.pop_back();
          }
          break;
        case 3: {
          const auto lease =
            leaseManager.Renew(entry, { 0, static_cast<int>(random() % 10) });
          CHECK(lease.mSlots == 0 ||
                leaseManager.Committed() <=
                  std::max(leaseManager.Capacity(),
                           leaseManager.Running() + lease.mSlots));
          break;
        }
        default:
          if (leaseManager.Admit(entry) == Admission::Admitted) {
            running.push_back(entry);
            CHECK(leaseManager.Running() <= leaseManager.Capacity());
          }
      }
      CHECK_EQUAL(running.size(), static_cast<size_t>(leaseManager.Running()));
    }
    while (!running.empty()) {
      leaseManager.Release(running.back());
      running.pop_back();
    }
  }
}
