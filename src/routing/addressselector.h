#pragma once

#include "configuration/tables.h"
#include "configuration/vmlist.h"

#include <string>
#include <vector>

namespace beryllever::routing {

/** Address at which an entry accepts requests of callers. */
struct EntryAddress
{
  std::string mVm;
  std::string mAddress;
  std::string mAvailabilityZone;
};

/**
 * Returns the live entries that are in service. They are ordered by rendezvous
 * hashing on aKey, for example a request number, so that different keys spread
 * callers evenly over the entries.
 */
std::vector<EntryAddress>
SelectAddresses(const configuration::Tables& aTables,
                const configuration::VmList& aVms,
                const std::string& aKey);

}
