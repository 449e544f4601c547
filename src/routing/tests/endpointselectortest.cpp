#include "routing/endpointselector.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever;
using namespace std::chrono_literals;

TEST_GROUP(EndpointSelector)
{
  global::ManualClock clock;
  credits::LeaseTable wallet{ clock };
  configuration::VmList vms;
  std::shared_ptr<const configuration::Tables> tables =
    std::make_shared<configuration::Tables>();
  configuration::Pool pool{
    .mName = "p",
    .mEndpoints = { { "m1", "a", "1" }, { "m2", "b", "2" }, { "m3", "c", "3" } }
  };

  void TakeLeases()
  {
    for (const auto& endpoint : pool.mEndpoints) {
      wallet.SetLease(endpoint.mAddress, { 4, clock.Now() + 3s }, 0, 4);
    }
  }

  const configuration::Endpoint* Choose(
    const routing::SelectionCriteria& aCriteria)
  {
    return routing::EndpointSelector(*tables, vms, wallet)
      .Choose(pool, aCriteria);
  }
};

TEST(EndpointSelector, WithoutCreditNothingIsChosen)
{
  POINTERS_EQUAL(nullptr, Choose({ "key", {} }));
}

TEST(EndpointSelector, AZoneOutOfServiceIsNeverChosen)
{
  TakeLeases();
  tables = tables->With({ { "out/zone/a", "true", 2, false } }, 2);

  for (int i = 0; i < 100; ++i) {
    CHECK(Choose({ std::to_string(i), {} })->mAvailabilityZone != "a");
  }
}

TEST(EndpointSelector, ALeavingVmIsNeverChosen)
{
  TakeLeases();
  const configuration::Vm vm{ .mName = "m2",
                              .mState = configuration::VmState::Leaving };
  vms = *vms.With({ configuration::ChangeFromVm(vm, 2) }, 2);

  for (int i = 0; i < 100; ++i) {
    CHECK(Choose({ std::to_string(i), {} })->mVm != "m2");
  }
}

TEST(EndpointSelector, TheSameKeyGoesToTheSameEndpointUntilItIsAboveTheMean)
{
  TakeLeases();
  const std::string first = Choose({ "key", {} })->mAddress;
  CHECK_EQUAL(first, Choose({ "key", {} })->mAddress);

  wallet.Acquire(first);
  wallet.Acquire(first);

  CHECK(Choose({ "key", {} })->mAddress != first);
}

TEST(EndpointSelector, AnEndpointThatRefusedIsNotTriedAgain)
{
  TakeLeases();

  CHECK_EQUAL(std::string("3"), Choose({ "key", { "1", "2" } })->mAddress);
  POINTERS_EQUAL(nullptr, Choose({ "key", { "1", "2", "3" } }));
}
