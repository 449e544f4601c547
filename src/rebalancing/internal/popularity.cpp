#include "rebalancing/popularity.h"

#include <cmath>
#include <numeric>

namespace beryllever::rebalancing {

Popularity::Popularity(size_t aExperts)
  : mSmoothed(aExperts, 0)
{
}

double
Popularity::DistanceTo(const Loads& aTokens) const
{
  const double sum = std::accumulate(aTokens.begin(), aTokens.end(), 0.0);
  const double smoothedSum =
    std::accumulate(mSmoothed.begin(), mSmoothed.end(), 0.0);
  if (sum <= 0 || smoothedSum <= 0) {
    return 0;
  }
  double distance = 0;
  for (size_t i = 0; i < mSmoothed.size(); ++i) {
    distance += std::abs(aTokens[i] / sum - mSmoothed[i] / smoothedSum) / 2;
  }
  return distance;
}

void
Popularity::AddWindow(const Loads& aTokens, double aWeight)
{
  const double weight = mHasWindow ? aWeight : 1;
  mHasWindow = true;
  for (size_t i = 0; i < mSmoothed.size(); ++i) {
    mSmoothed[i] += weight * (aTokens[i] - mSmoothed[i]);
  }
}

}
