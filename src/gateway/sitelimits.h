#pragma once

#include <chrono>
#include <cstdint>

namespace beryllever::gateway {

/** Limits from the settings, which apply to all gateways of a site together
 * unless stated otherwise. */
struct SiteLimits
{
  /** Retries allowed per request of a pool. */
  double mRetryRatio = 0.2;
  /** Additional retries of a pool per window. */
  double mRetryExtra = 0;
  std::chrono::milliseconds mRetryWindow{ 10000 };
  /** Factor applied to the cold requests per second of a pool. */
  double mColdOverage = 1;
  /** Requests per second added to the product of mColdOverage and the cold
   * requests per second of the pool. */
  double mColdTolerance = 0;
  /** Bytes of request bodies that a single gateway may buffer at a time. */
  int64_t mMaxBufferedBytes = int64_t(32) * 1024 * 1024;
};

}
