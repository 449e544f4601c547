#pragma once

#include "configuration/tables.h"
#include "configuration/vmlist.h"

#include <string>
#include <vector>

namespace beryllever::routing {

/** An entry that callers may use. */
struct EntryAddress
{
  std::string mVm;
  std::string mAddress;
  std::string mAvailabilityZone;
};

/**
 * Entries in service, in an order that spreads callers evenly: the order is
 * drawn by rendezvous hashing on a key, for instance a request number.
 */
std::vector<EntryAddress>
SelectAddresses(const configuration::Tables& aTables,
                const configuration::VmList& aVms,
                const std::string& aKey);

}
