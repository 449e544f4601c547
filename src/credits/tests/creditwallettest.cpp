#include "credits/creditwallet.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever;
using namespace std::chrono_literals;

TEST_GROUP(CreditWallet)
{
  global::ManualClock clock;
  credits::CreditWallet wallet{ clock };
};

TEST(CreditWallet, ALeaseEndsEarlierThanAtItsGiver)
{
  wallet.TakeLease("e", { 1, clock.Now() + 3s }, 0, 1);
  CHECK(wallet.CanUse("e"));

  clock.Advance(2600ms);

  CHECK_FALSE(wallet.CanUse("e"));
}

TEST(CreditWallet, SlotsAreUsedUpAndReturned)
{
  wallet.TakeLease("e", { 1, clock.Now() + 3s }, 0, 1);

  wallet.Use("e");
  CHECK_FALSE(wallet.CanUse("e"));

  wallet.Return("e");
  CHECK(wallet.CanUse("e"));
}

TEST(CreditWallet, AllLeasesAreForgottenAtOnce)
{
  wallet.TakeLease("e", { 1, clock.Now() + 3s }, 1, 1);

  wallet.ForgetAll();

  CHECK_FALSE(wallet.CanUse("e"));
}
