#include "credits/creditledger.h"

#include <CppUTest/TestHarness.h>
#include <random>

using namespace beryllever;
using namespace std::chrono_literals;
using credits::Admission;

TEST_GROUP(CreditLedger)
{
  global::ManualClock clock;
  credits::CreditLedger ledger{ clock };
};

TEST(CreditLedger, LeasesNeverPassTheCapacity)
{
  ledger.SetCapacity(4);

  CHECK_EQUAL(3, ledger.Renew("a", { 0, 3 }).mSlots);
  CHECK_EQUAL(1, ledger.Renew("b", { 0, 3 }).mSlots);
  CHECK_EQUAL(4, ledger.Committed());
}

TEST(CreditLedger, UnderContentionSharesBecomeEven)
{
  ledger.SetCapacity(4);
  ledger.Renew("a", { 0, 4 });
  ledger.Renew("b", { 0, 4 });

  ledger.Renew("a", { 0, 4 });
  const auto lease = ledger.Renew("b", { 0, 4 });

  CHECK_EQUAL(2, lease.mSlots);
}

TEST(CreditLedger, TheShareOfADeadEntryReturns)
{
  ledger.SetCapacity(4);
  ledger.Renew("a", { 0, 4 });

  clock.Advance(4s);

  CHECK_EQUAL(4, ledger.Renew("b", { 0, 4 }).mSlots);
}

TEST(CreditLedger, AFrozenEntryThatWakesLateIsRefused)
{
  ledger.SetCapacity(2);
  ledger.Renew("a", { 0, 2 });
  clock.Advance(4s);
  ledger.Renew("b", { 0, 2 });

  CHECK(ledger.Admit("a") == Admission::LeasedToOthers);
  CHECK(ledger.Admit("b") == Admission::Admitted);
}

TEST(CreditLedger, ACutCapacityBindsLeasesThatAreOut)
{
  ledger.SetCapacity(8);
  ledger.Renew("a", { 0, 8 });

  ledger.SetCapacity(1);

  CHECK(ledger.Admit("a") == Admission::Admitted);
  CHECK(ledger.Admit("a") == Admission::Full);
}

// Hundreds of entries with leases, dead entries and a capacity that jumps: what
// runs never passes the capacity at the time when a request is let in.
TEST(CreditLedger, NoMixOfEntriesAddsUpToAnOverload)
{
  for (unsigned seed = 1; seed <= 50; ++seed) {
    std::mt19937 random(seed);
    std::vector<std::string> running;
    for (int step = 0; step < 2000; ++step) {
      const std::string entry = "entry" + std::to_string(random() % 300);
      switch (random() % 6) {
        case 0:
          ledger.SetCapacity(static_cast<int>(random() % 33));
          break;
        case 1:
          clock.Advance(std::chrono::milliseconds(random() % 2000));
          break;
        case 2:
          if (!running.empty()) {
            ledger.Release(running.back());
            running.pop_back();
          }
          break;
        case 3: {
          const auto lease =
            ledger.Renew(entry, { 0, static_cast<int>(random() % 10) });
          CHECK(lease.mSlots == 0 ||
                ledger.Committed() <=
                  std::max(ledger.Capacity(), ledger.Running() + lease.mSlots));
          break;
        }
        default:
          if (ledger.Admit(entry) == Admission::Admitted) {
            running.push_back(entry);
            CHECK(ledger.Running() <= ledger.Capacity());
          }
      }
      CHECK_EQUAL(running.size(), static_cast<size_t>(ledger.Running()));
    }
    while (!running.empty()) {
      ledger.Release(running.back());
      running.pop_back();
    }
  }
}
