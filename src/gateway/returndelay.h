#pragma once

#include <chrono>
#include <random>

namespace beryllever::gateway {

/** Draws the delay after which a caller should return to a pool whose endpoints
 * all pause for the given time. Callers that were turned away during the pause
 * return spread over as much time again, because together they would fill the
 * pool at its end. aLongest is the longest delay that the caller respects. */
std::chrono::milliseconds
DrawReturnDelay(std::chrono::milliseconds aPause,
                std::chrono::milliseconds aLongest,
                std::mt19937_64& aRandom);

}
