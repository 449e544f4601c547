#pragma once

#include "framework/global/iclock.h"

#include <cstdint>
#include <string>

namespace beryllever::credits {

/** Number of requests that an endpoint may run concurrently. */
using Slots = int;

/** Slots of one endpoint that an entry asks for. */
struct Demand
{
  /** Requests of the entry that run at the endpoint. */
  Slots mInUse = 0;
  /** Requests that the entry wants to run there, including the running ones. */
  Slots mWanted = 0;
};

/** Slots that an entry may use until a deadline. */
struct Lease
{
  Slots mSlots = 0;
  global::TimePoint mDeadline{};
};

/** Health report of a back end. */
struct BackEndReport
{
  /** Changes when the back end's process restarts. */
  std::string mIncarnation;
  /** Number of entries in its prefix cache; negative if it reports none. */
  int64_t mCacheEntries = -1;
  bool mIsReady = true;
};

}
