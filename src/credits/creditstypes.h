#pragma once

#include "framework/global/iclock.h"

#include <cstdint>
#include <string>

namespace beryllever::credits {

/** A number of slots. A slot lets one request at a time run at an endpoint. */
using Slots = int;

/** Slots of one endpoint that an entry uses and asks for. */
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
  /** Number of entries in the back end's prefix cache; a sharp drop means that
   * the cache was lost. Negative if the report does not state it. */
  int64_t mCacheEntries = -1;
  bool mIsReady = true;
};

}
