#pragma once

#include "rebalancing/placement.h"

namespace beryllever::rebalancing {

/** Popularity of the experts of one layer: an exponential moving average of the
 * token counts per window. */
class Popularity
{
public:
  explicit Popularity(size_t aExperts);

  /** Adds a window with a weight between 0 and 1. The first window always has
   * weight 1. */
  void AddWindow(const Loads& aTokens, double aWeight);
  /** Returns the total variation distance between the distributions of a window
   * and of the smoothed load: 0 if they are equal, 1 if they have no expert in
   * common. */
  double DistanceTo(const Loads& aTokens) const;
  const Loads& Smoothed() const { return mSmoothed; }

private:
  bool mHasWindow = false;
  Loads mSmoothed;
};

}
