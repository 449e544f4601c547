#pragma once

#include "gateway/requestcodec.h"
#include "published/snapshot.h"

#include <random>
#include <variant>

namespace beryllever::gateway {

/** What the published tables say about a request that may be served. */
struct Admission
{
  const published::Route* mRoute = nullptr;
  /** Empty if the request has no workspace. */
  std::string mWorkspace;
  /** The workspace's, or else the route's; 0 is the most urgent. */
  int mPriority = 0;
};

/** Why a request is not served at all. */
struct Rejection
{
  unsigned mStatus = 0;
  std::string mReason;
};

/** Finds a request's route by host and path, and its workspace by its key. */
std::variant<Admission, Rejection>
Admit(const published::Snapshot& aSnapshot,
      const std::string& aHost,
      std::string_view aPath,
      const std::string& aKey);

/** Draws a pool of a route by the weights of its targets. */
std::string
DrawPool(const published::Route& aRoute, std::mt19937_64& aRandom);

}
