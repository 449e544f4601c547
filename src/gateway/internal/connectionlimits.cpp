#include "gateway/connectionlimits.h"

#include <algorithm>

namespace beryllever::gateway {

void
ConnectionLimits::Update(const published::CallerLimits& aLimits)
{
  const auto idleTimeout = Current().mIdleTimeout;
  if (aLimits.mIdleTimeout < mLimits.mIdleTimeout) {
    mFormerIdleTimeout = idleTimeout;
    mFormerDeadline = mClock.Now() + kPropagationTime;
  }
  mLimits = { aLimits.mHeaderBytes,
              aLimits.mBodyBytes,
              aLimits.mHeaderTimeout,
              aLimits.mIdleTimeout };
}

net::ServerLimits
ConnectionLimits::Current() const
{
  net::ServerLimits limits = mLimits;
  if (mClock.Now() < mFormerDeadline) {
    limits.mIdleTimeout = std::max(limits.mIdleTimeout, mFormerIdleTimeout);
  }
  return limits;
}

}
