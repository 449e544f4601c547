#pragma once

#include "framework/net/httpserverconnection.h"
#include "published/publishedtypes.h"

namespace beryllever::gateway {

/**
 * Limits of callers' connections while versions of the configuration follow one
 * another. Callers reuse idle connections by the version that they know, so a
 * lowered idle limit takes effect only when all of them know it.
 */
class ConnectionLimits
{
public:
  /** Time until all callers know a version. Longer than a gateway may take to
   * apply one while the store is disturbed. */
  static constexpr std::chrono::milliseconds kPropagationTime{ 10000 };

  explicit ConnectionLimits(const global::IClock& aClock)
    : mClock(aClock)
  {
  }

  /** Takes over the limits of the version that is now in force. */
  void Update(const published::CallerLimits& aLimits);
  /** Limits of a connection: those in force, with the longest idle limit by
   * which a caller may still go. */
  net::ServerLimits Current() const;

private:
  const global::IClock& mClock;
  net::ServerLimits mLimits;
  /** Idle limit of earlier versions, which applies until the deadline. */
  std::chrono::milliseconds mFormerIdleTimeout{ 0 };
  global::TimePoint mFormerDeadline{};
};

}
