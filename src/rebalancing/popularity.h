#pragma once

#include "rebalancing/placement.h"

namespace beryllever::rebalancing {

/** Popularity of the experts of one layer, smoothed over windows. */
class Popularity
{
public:
  explicit Popularity(size_t aExperts);

  /** The weight of the window is between 0 and 1; the first counts whole. */
  void AddWindow(const Loads& aTokens, double aWeight);
  /** Share of a window that goes elsewhere than the smoothed load: 0 if both
   * are alike, 1 if they share no expert. */
  double DistanceTo(const Loads& aTokens) const;
  const Loads& Smoothed() const { return mSmoothed; }

private:
  bool mHasWindow = false;
  Loads mSmoothed;
};

}
