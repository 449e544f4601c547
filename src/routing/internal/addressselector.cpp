#include "routing/addressselector.h"

#include "framework/global/hashing.h"

#include <algorithm>

namespace beryllever::routing {

std::vector<EntryAddress>
SelectAddresses(const configuration::Tables& aTables,
                const configuration::VmList& aVms,
                const std::string& aKey)
{
  std::vector<EntryAddress> addresses;
  for (const auto& [name, vm] : aVms.Vms()) {
    const bool isOut =
      aTables.Service().IsOutOfService(name, vm.mAvailabilityZone);
    if (!vm.mCallerAddress.empty() &&
        vm.mState == configuration::VmState::Live && !isOut) {
      addresses.push_back({ name, vm.mCallerAddress, vm.mAvailabilityZone });
    }
  }
  std::sort(addresses.begin(),
            addresses.end(),
            [&](const EntryAddress& aLeft, const EntryAddress& aRight) {
              return global::RendezvousWeight(aKey, aLeft.mVm) >
                     global::RendezvousWeight(aKey, aRight.mVm);
            });
  return addresses;
}

}
