#include "gateway/stopschedule.h"

#include <algorithm>

namespace beryllever::gateway {

namespace {

using std::chrono::milliseconds;

/** Time past the directory's time to live during which callers with a cached
 * response still send requests to a gateway that is shutting down. */
constexpr milliseconds kCachedAddressMargin{ 700 };
/** Fraction of the grace time after which a request is accepted only if it ends
 * in time for sure. Those accepted before have the rest to end. */
constexpr double kAcceptGraceFraction = 0.35;
/** Part of the grace time that is reserved for stopping the process: for the
 * daemon's next look at whether it is idle, the end of the peers' server, and
 * the last lines of the log. */
constexpr milliseconds kStopReserve{ 400 };

}

StopSchedule
PlanStop(global::TimePoint aNow,
         milliseconds aGraceTime,
         milliseconds aTimeToLive)
{
  const auto maxAcceptTime =
    std::chrono::duration_cast<milliseconds>(aGraceTime * kAcceptGraceFraction);
  const milliseconds acceptTime =
    std::min(aTimeToLive + kCachedAddressMargin, maxAcceptTime);
  return { aNow, aNow + acceptTime, aNow + aGraceTime - kStopReserve };
}

}
