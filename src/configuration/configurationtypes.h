#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace beryllever::configuration {

/** Request kind of the chat interface. */
inline constexpr char kChatKind[] = "chat";
/** Workspace name of the default route, which applies to workspaces that have
 * no route of their own for the request kind. */
inline constexpr char kAnyWorkspace[] = "*";

/** One row of the routes table. */
struct Route
{
  std::string mWorkspace;
  std::string mKind;
  std::string mPool;
  bool mIsIdempotent = true;
  /** 0 to 9. When requests are shed, the lowest priority goes first. */
  int mPriority = 5;
  /** Weight of the workspace when queued requests are scheduled. */
  int mWeight = 1;
  std::chrono::milliseconds mTimeout{ 60000 };
};

/** A back end, reached through its agent: one rank of a model engine, or an
 * instance of a plain service. */
struct Endpoint
{
  std::string mVm;
  std::string mAvailabilityZone;
  /** Address of the endpoint's agent, as IP address and port. */
  std::string mAddress;
  /** Lock-step group that the model engine belongs to; empty for a plain
   * service. */
  std::string mGroup;
  int mRank = 0;
};

enum class PoolType
{
  Model,
  Service,
};

/** One row of the pools table. */
struct Pool
{
  std::string mName;
  PoolType mType = PoolType::Service;
  std::string mModel;
  /** Concurrent requests that a warm endpoint can handle. */
  int mWarmConcurrency = 1;
  /** Concurrent requests that a cold endpoint can handle. */
  int mColdConcurrency = 1;
  /** Version of the expert map that the operators require; 0 lets the groups
   * choose. */
  uint64_t mExpertMap = 0;
  std::vector<Endpoint> mEndpoints;
};

/** Availability zones and VMs that the operators have taken out of service. */
struct ServiceState
{
  std::set<std::string> mOutOfServiceAvailabilityZones;
  std::set<std::string> mOutOfServiceVms;

  bool IsOutOfService(const std::string& aVm,
                      const std::string& aAvailabilityZone) const
  {
    return mOutOfServiceVms.contains(aVm) ||
           mOutOfServiceAvailabilityZones.contains(aAvailabilityZone);
  }
};

enum class VmState
{
  Live,
  Leaving,
};

/** A VM of the platform's list that runs one of the load balancer's processes.
 */
struct Vm
{
  std::string mName;
  std::string mAvailabilityZone;
  /** "entry" or "agent". */
  std::string mRole;
  /** Address on which an entry serves callers; empty for an agent. */
  std::string mCallerAddress;
  /** Address on which the load balancer's processes reach each other. */
  std::string mPeerAddress;
  /** Address of the operator pages. */
  std::string mOperatorAddress;
  VmState mState = VmState::Live;
};

}
