#pragma once

#include "framework/global/iclock.h"

namespace beryllever::gateway {

/** Times of a planned stop of this process. */
struct StopSchedule
{
  /** When the process was told to stop. */
  global::TimePoint mBegin{};
  /** Until then connections are accepted, and all requests. */
  global::TimePoint mAcceptDeadline{};
  /** When the grace time ends; requests that are open then are cut off. */
  global::TimePoint mEnd{};

  /** Whether a request that is whole now, and ends by its deadline at the
   * latest, is taken. While connections are accepted all are, since callers do
   * not know of the stop yet; later only those that the end of the grace time
   * cannot cut off. A process that closes its listener late takes none for it.
   */
  bool MayTake(bool aIsAccepting,
               global::TimePoint aNow,
               global::TimePoint aDeadline) const
  {
    const bool isEarly = aIsAccepting && aNow < mAcceptDeadline + kMaxDelay;
    return isEarly || aDeadline <= mEnd;
  }

  /** Longest delay of a busy process in closing its listener. Callers that are
   * refused earlier would come back to it. */
  static constexpr std::chrono::milliseconds kMaxDelay{ 200 };
};

/** The times of a stop that begins at aNow and must have ended after
 * aGraceTime. aTimeToLive is how long callers use an address that they have
 * asked for. */
StopSchedule
PlanStop(global::TimePoint aNow,
         std::chrono::milliseconds aGraceTime,
         std::chrono::milliseconds aTimeToLive);

}
