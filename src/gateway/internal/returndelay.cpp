#include "gateway/returndelay.h"

#include <algorithm>

namespace beryllever::gateway {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/** Shortest time over which returns are spread. */
constexpr milliseconds kMinSpread{ 400 };
/** Least fraction of the longest delay for callers that cannot wait until the
 * end of the pause. */
constexpr double kMinFractionOfLongest = 0.7;

}

milliseconds
DrawReturnDelay(milliseconds aPause,
                milliseconds aLongest,
                std::mt19937_64& aRandom)
{
  const milliseconds end = std::min(
    aPause, duration_cast<milliseconds>(aLongest * kMinFractionOfLongest));
  const milliseconds latest =
    std::clamp(aPause + std::max(kMinSpread, aPause), end, aLongest);
  std::uniform_int_distribution<int64_t> delay(end.count(), latest.count());
  return milliseconds(delay(aRandom));
}

}
