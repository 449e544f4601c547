#pragma once

#include <cstdint>

namespace beryllever::log {

/** Lines that have not reached the reader of the log. */
struct LineCounts
{
  /** Not yet written. */
  uint64_t mWaiting = 0;
  /** Dropped since the process started. */
  uint64_t mDropped = 0;
};

}
