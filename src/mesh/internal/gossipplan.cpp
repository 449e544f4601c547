#include "mesh/gossipplan.h"

#include "framework/global/hashing.h"

#include <algorithm>
#include <set>

namespace beryllever::mesh {

namespace {

/** Gateways of its own zone that an agent reports to. With three, a report
 * arrives even if two of them have failed and have not expired yet. */
constexpr size_t kLocalZoneTargets = 3;
/** Gateways of each other zone that an agent reports to. Only one, because
 * traffic between zones is costly. */
constexpr size_t kRemoteZoneTargets = 1;
/** Gateways of a zone that read the store. With three, the store may refuse one
 * and another one may fail without a gap in the updates. */
constexpr int kStoreReadersPerZone = 3;
/** Readers of other zones that tell a gateway of a new revision if its own zone
 * has no reader. With two, one of them may be late. */
constexpr size_t kRemoteInformants = 2;

bool
IsReading(const Member& aMember)
{
  return aMember.mStoreAccess == StoreAccess::Reading;
}

/** Whether this reader is among the few that inform a gateway of another zone.
 */
bool
IsRemoteInformant(const Member& aSelf,
                  const Member& aGateway,
                  const std::vector<Member>& aReaders)
{
  const uint64_t ownWeight = global::RendezvousWeight(aGateway.mVm, aSelf.mVm);
  const auto preferred =
    std::count_if(aReaders.begin(), aReaders.end(), [&](const Member& aReader) {
      return global::RendezvousWeight(aGateway.mVm, aReader.mVm) > ownWeight;
    });
  return static_cast<size_t>(preferred) < kRemoteInformants;
}

std::vector<Member>
TargetsInZone(const std::string& aZone,
              const Member& aAgent,
              const std::vector<Member>& aGateways)
{
  std::vector<Member> targets;
  for (const Member& gateway : aGateways) {
    if (gateway.mAvailabilityZone == aZone) {
      targets.push_back(gateway);
    }
  }
  const size_t n =
    aZone == aAgent.mAvailabilityZone ? kLocalZoneTargets : kRemoteZoneTargets;
  if (targets.size() <= n) {
    return targets;
  }
  const auto end = targets.begin() + static_cast<std::ptrdiff_t>(n);
  std::partial_sort(targets.begin(),
                    end,
                    targets.end(),
                    [&](const Member& aLeft, const Member& aRight) {
                      return global::RendezvousWeight(aAgent.mVm, aLeft.mVm) >
                             global::RendezvousWeight(aAgent.mVm, aRight.mVm);
                    });
  targets.erase(end, targets.end());
  return targets;
}

}

std::vector<Member>
ReportTargets(const Member& aAgent, const std::vector<Member>& aGateways)
{
  std::set<std::string> zones;
  for (const Member& gateway : aGateways) {
    zones.insert(gateway.mAvailabilityZone);
  }
  std::vector<Member> all;
  for (const std::string& zone : zones) {
    const std::vector<Member> targets = TargetsInZone(zone, aAgent, aGateways);
    all.insert(all.end(), targets.begin(), targets.end());
  }
  return all;
}

bool
NeedsRelay(const Member& aAgent,
           const Member& aGateway,
           const std::vector<Member>& aGateways)
{
  const std::vector<Member> targets =
    TargetsInZone(aGateway.mAvailabilityZone, aAgent, aGateways);
  return std::none_of(
    targets.begin(), targets.end(), [&](const Member& aMember) {
      return aMember.mVm == aGateway.mVm;
    });
}

std::vector<Member>
RevisionTargets(const Member& aSelf, const std::vector<Member>& aGateways)
{
  std::set<std::string> zonesWithReader{ aSelf.mAvailabilityZone };
  std::vector<Member> readers;
  for (const Member& gateway : aGateways) {
    if (IsReading(gateway)) {
      zonesWithReader.insert(gateway.mAvailabilityZone);
      readers.push_back(gateway);
    }
  }
  std::vector<Member> targets;
  for (const Member& gateway : aGateways) {
    if (IsReading(gateway) ||
        gateway.mPublishedPosition >= aSelf.mPublishedPosition) {
      continue;
    }
    const bool isLocal = gateway.mAvailabilityZone == aSelf.mAvailabilityZone;
    const bool isRemoteTarget =
      IsReading(aSelf) &&
      !zonesWithReader.contains(gateway.mAvailabilityZone) &&
      IsRemoteInformant(aSelf, gateway, readers);
    if (isLocal || isRemoteTarget) {
      targets.push_back(gateway);
    }
  }
  return targets;
}

bool
IsStoreReader(const Member& aSelf, const std::vector<Member>& aPeers)
{
  if (aSelf.mStoreAccess == StoreAccess::Failing) {
    return true;
  }
  const auto precedingReaders =
    std::count_if(aPeers.begin(), aPeers.end(), [&](const Member& aPeer) {
      return aPeer.mRole == kGatewayRole && aPeer.mVm < aSelf.mVm &&
             aPeer.mAvailabilityZone == aSelf.mAvailabilityZone &&
             aPeer.mStoreAccess != StoreAccess::Failing;
    });
  return precedingReaders < kStoreReadersPerZone;
}

}
