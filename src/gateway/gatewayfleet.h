#pragma once

#include <string>
#include <vector>

namespace beryllever::gateway {

/** The gateways among which the limits of an endpoint are divided. */
struct GatewayFleet
{
  /** Name of this gateway. */
  std::string mSelf;
  /** Names of all known gateways, including this one. */
  std::vector<std::string> mNames;
  /** Gateways that may be running; may exceed the number of names. */
  int mCount = 1;

  /** Position of this gateway in an order of all mCount gateways that differs
   * from endpoint to endpoint. Gateways that know the same names use the same
   * order; placeholders stand for the names that are not known. */
  size_t RankFor(const std::string& aEndpoint) const;
};

}
