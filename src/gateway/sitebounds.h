#pragma once

#include <chrono>
#include <cstdint>

namespace beryllever::gateway {

/** Bounds that all gateways of a site keep together, from the settings. */
struct SiteBounds
{
  /** Repeats allowed for each request of a pool. */
  double mRetryRatio = 0.2;
  /** Further repeats in a window. */
  double mRetryExtra = 0;
  std::chrono::milliseconds mRetryWindow{ 10000 };
  /** Factor and addend of the bound on a cold endpoint's requests a second. */
  double mColdOverage = 1;
  double mColdTolerance = 0;
  /** Bytes of request bodies that one gateway holds at a time. */
  int64_t mHeldBytes = int64_t(32) * 1024 * 1024;
};

}
