#include "rebalancing/popularity.h"

namespace beryllever::rebalancing {

Popularity::Popularity(size_t aExperts, double aNewWeight)
  : mNewWeight(aNewWeight)
  , mSmoothed(aExperts, 0)
{
}

void
Popularity::TakeWindow(const Loads& aTokens)
{
  const double weight = mHasWindow ? mNewWeight : 1;
  mHasWindow = true;
  for (size_t i = 0; i < mSmoothed.size(); ++i) {
    mSmoothed[i] += weight * (aTokens[i] - mSmoothed[i]);
  }
}

}
