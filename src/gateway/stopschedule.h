#pragma once

#include "framework/global/iclock.h"

namespace beryllever::gateway {

/** Times of a planned stop of this process. */
struct StopSchedule
{
  /** When the process was told to stop. */
  global::TimePoint mBegin{};
  /** Until then new connections and all their requests are accepted. */
  global::TimePoint mAcceptDeadline{};
  /** When the grace time ends; requests that are open then are cut off. */
  global::TimePoint mEnd{};
};

}
