#pragma once

#include "framework/global/iclock.h"

#include <cstdint>
#include <string>

namespace beryllever::credits {

/** Number of requests that an endpoint may hold at once. */
using Slots = int;

/** What an entry wants from one endpoint. */
struct Demand
{
  /** Requests that the entry has running at the endpoint. */
  Slots mInUse = 0;
  /** Requests that the entry would like to run there, running ones included. */
  Slots mWanted = 0;
};

/** Slots that an entry may use until a deadline. */
struct Lease
{
  Slots mSlots = 0;
  global::TimePoint mDeadline{};
};

/** What a back end reports of itself. */
struct BackEndReport
{
  /** Changes when the back end's process starts anew. */
  std::string mIncarnation;
  /** Entries of its prefix cache; negative if it has none. */
  int64_t mCacheEntries = -1;
  bool mIsReady = true;
};

}
