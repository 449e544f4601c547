#pragma once

#include "rebalancing/placement.h"

namespace beryllever::rebalancing {

/** Popularity of the experts of one layer, smoothed over windows. */
class Popularity
{
public:
  /** The weight of a new window is between 0 and 1. */
  Popularity(size_t aExperts, double aNewWeight);

  void TakeWindow(const Loads& aTokens);
  const Loads& Smoothed() const { return mSmoothed; }

private:
  double mNewWeight;
  bool mHasWindow = false;
  Loads mSmoothed;
};

}
