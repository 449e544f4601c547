#pragma once

#include "framework/global/iclock.h"
#include "published/publishedtypes.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace beryllever::mesh {

/** Load of an endpoint, as its agent reports it. */
struct EndpointLoad
{
  std::string mEndpointAddress;
  int mRequests = 0;
  bool mIsOpen = true;
  /** Lock-step group of the endpoint; empty if it is in none. */
  std::string mGroup;
  uint32_t mRank = 0;
  uint32_t mGroupSize = 0;
  /** Whether the agent may become the lead of its group. */
  bool mMayLead = false;
  /** Slowdown: current duration divided by the usual one. */
  double mPace = 1;
};

/** Access of a gateway to the platform's store. */
enum class StoreAccess
{
  /** Does not read; receives published items from peers. */
  None,
  Reading,
  /** Tries to read, but is refused or gets no answer. */
  Failing,
};

/** One process of the system, as reported by itself or relayed by others. */
struct Member
{
  std::string mVm;
  std::string mRole;
  /** Increases with each start of the process. */
  uint64_t mIncarnation = 0;
  /** Increases while the process runs. */
  uint64_t mHeartbeat = 0;
  std::string mPeerAddress;
  std::string mAvailabilityZone;
  /** Address for callers; only gateways have one. */
  std::string mCallerAddress;
  /** Whether callers may be directed to this process. */
  bool mIsServing = false;
  published::StorePosition mPublishedPosition;
  StoreAccess mStoreAccess = StoreAccess::None;
  std::optional<EndpointLoad> mLoad;
  /** Gateways that the process knows of; 0 while it may not know all of them.
   */
  int mKnownGateways = 0;
};

/** Role names in settings and gossip messages. */
inline constexpr char kGatewayRole[] = "gateway";
inline constexpr char kRankAgentRole[] = "rankagent";

}
