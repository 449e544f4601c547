#include "gateway/gatewayfleet.h"

#include "framework/global/hashing.h"

#include <algorithm>

namespace beryllever::gateway {

size_t
GatewayFleet::RankFor(const std::string& aEndpoint) const
{
  const uint64_t own = global::RendezvousWeight(aEndpoint, mSelf);
  const auto precedes = [&](const std::string& aName) {
    return global::RendezvousWeight(aEndpoint, aName) > own;
  };
  auto rank =
    static_cast<size_t>(std::count_if(mNames.begin(), mNames.end(), precedes));
  for (size_t i = mNames.size(); i < static_cast<size_t>(mCount); ++i) {
    rank += precedes("unknown-" + std::to_string(i)) ? 1 : 0;
  }
  return rank;
}

}
