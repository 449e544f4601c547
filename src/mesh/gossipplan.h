#pragma once

#include "mesh/meshtypes.h"

#include <vector>

namespace beryllever::mesh {

// Gossip topology and choice of store readers, as pure functions of the live
// members: every decision whose cost could grow with the number of processes is
// made here. A process has few peers in its own availability zone and fewer in
// each other one, whatever the number of processes.

/** Gateways that an agent reports its endpoint to: several in its own zone and
 * one in each other zone. They relay the report within their zones. */
std::vector<Member>
ReportTargets(const Member& aAgent, const std::vector<Member>& aGateways);

/** Whether a gateway learns of an agent only from another gateway of its zone,
 * because the agent does not report to it. */
bool
NeedsRelay(const Member& aAgent,
           const Member& aGateway,
           const std::vector<Member>& aGateways);

/** Gateways that a reader of the store tells of a new revision: those of its
 * own zone that do not read the store. In a zone without a reader, each gateway
 * is told by a few readers of other zones, whatever their number. */
std::vector<Member>
RevisionTargets(const Member& aSelf, const std::vector<Member>& aGateways);

/** Whether a gateway reads the platform's store itself. In each zone the first
 * few gateways by Vm name do, without those whose access fails. A gateway whose
 * access fails keeps trying. */
bool
IsStoreReader(const Member& aSelf, const std::vector<Member>& aPeers);

}
