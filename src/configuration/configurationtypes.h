#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace beryllever::configuration {

/** Kind of request that the chat interface carries. */
inline constexpr char kChatKind[] = "chat";
/** Workspace name of a route that serves every workspace without a route of its
 * own. */
inline constexpr char kAnyWorkspace[] = "*";

/** One row of the table of routes. */
struct Route
{
  std::string mWorkspace;
  std::string mKind;
  std::string mPool;
  bool mIsIdempotent = true;
  /** 0 is shed first, 9 last. */
  int mPriority = 5;
  /** Share of the workspace when requests wait. */
  int mWeight = 1;
  std::chrono::milliseconds mTimeout{ 60000 };
};

/** A back end: a rank of a model engine or a plain service, reached through its
 * agent. */
struct Endpoint
{
  std::string mVm;
  std::string mAvailabilityZone;
  /** Address of the endpoint's agent, IP number and port. */
  std::string mAddress;
  /** Lock-step group of a model engine; empty for a plain service. */
  std::string mGroup;
  int mRank = 0;
};

enum class PoolType
{
  Model,
  Service,
};

/** One row of the table of pools. */
struct Pool
{
  std::string mName;
  PoolType mType = PoolType::Service;
  std::string mModel;
  /** Requests that a warm endpoint bears at once. */
  int mBears = 1;
  /** Requests that an endpoint in cold start bears at once. */
  int mColdBears = 1;
  /** Expert map that operators order; 0 leaves the choice to the groups. */
  uint64_t mExpertMap = 0;
  std::vector<Endpoint> mEndpoints;
};

/** Availability zones and VMs that operators have taken out of service. */
struct ServiceState
{
  std::set<std::string> mOutAvailabilityZones;
  std::set<std::string> mOutVms;

  bool IsOut(const std::string& aVm, const std::string& aAvailabilityZone) const
  {
    return mOutVms.contains(aVm) ||
           mOutAvailabilityZones.contains(aAvailabilityZone);
  }
};

enum class VmState
{
  Live,
  Leaving,
};

/** One VM of the platform's list that runs a process of the system. */
struct Vm
{
  std::string mName;
  std::string mAvailabilityZone;
  /** entry or agent. */
  std::string mRole;
  /** Address for callers; empty for an agent. */
  std::string mCallerAddress;
  /** Address for the system's own processes. */
  std::string mPeerAddress;
  /** Address for operators. */
  std::string mOperatorAddress;
  VmState mState = VmState::Live;
};

}
