#include "routing/addressselector.h"

#include <CppUTest/TestHarness.h>
#include <map>

using namespace beryllever;

TEST_GROUP(AddressSelector)
{
  configuration::VmList vms;
  std::shared_ptr<const configuration::Tables> tables =
    std::make_shared<configuration::Tables>();

  void setup() override
  {
    for (int i = 0; i < 6; ++i) {
      const configuration::Vm vm{ .mName = "e" + std::to_string(i),
                                  .mAvailabilityZone =
                                    "az" + std::to_string(i % 3),
                                  .mRole = "entry",
                                  .mCallerAddress =
                                    "127.0.0.1:" + std::to_string(i) };
      vms = *vms.With({ configuration::ChangeFromVm(vm, 1) }, 1);
    }
  }
};

TEST(AddressSelector, EntriesOutOfServiceAreNotReturned)
{
  tables = tables->With(
    { { "out/zone/az0", "true", 2, false }, { "out/vm/e1", "true", 2, false } },
    2);

  const auto addresses = routing::SelectAddresses(*tables, vms, "1");

  // e2, e4 and e5 remain: e0 and e3 are in az0, and e1 is out of service.
  CHECK_EQUAL(3u, addresses.size());
}

TEST(AddressSelector, CallersAreSpreadEvenly)
{
  std::map<std::string, int> first;
  for (int i = 0; i < 6000; ++i) {
    ++first
      [routing::SelectAddresses(*tables, vms, std::to_string(i)).front().mVm];
  }

  // 6000 callers at 6 entries: 1000 per entry on average.
  for (const auto& [vm, n] : first) {
    CHECK(n > 800 && n < 1200);
  }
}
