#pragma once

#include "gateway/requestcodec.h"
#include "published/snapshot.h"

#include <random>
#include <variant>

namespace beryllever::gateway {

/** Route and workspace of a request that may be served. */
struct Admission
{
  /** Points into the snapshot, which must outlive the admission. */
  const published::Route* mRoute = nullptr;
  /** Empty if the request belongs to no workspace. */
  std::string mWorkspace;
  /** Priority of the workspace, or else of the route; 0 is the most urgent. */
  int mPriority = 0;
};

/** Status and reason with which a request is rejected. */
struct Rejection
{
  unsigned mStatus = 0;
  std::string mReason;
};

/** Looks up the route of a request by host and path, and its workspace by API
 * key. */
std::variant<Admission, Rejection>
Admit(const published::Snapshot& aSnapshot,
      const std::string& aHost,
      std::string_view aPath,
      const std::string& aApiKey);

/** Selects one of the pools of a route at random, by the weights of its
 * targets. Returns an empty name if no target has a positive weight. */
std::string
PickPool(const published::Route& aRoute, std::mt19937_64& aRandom);

}
