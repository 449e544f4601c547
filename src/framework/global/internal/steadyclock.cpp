#include "framework/global/iclock.h"

namespace beryllever::global {

TimePoint
SteadyClock::Now() const
{
  return std::chrono::steady_clock::now();
}

}
