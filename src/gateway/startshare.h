#pragma once

#include "framework/global/iclock.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace beryllever::gateway {

/**
 * Tells when a gateway lacks the load reports of a pool and has to keep to its
 * share of the places. Without reports it sees only its own requests; after a
 * power loss all gateways would fill the same places at once.
 */
class StartShare
{
public:
  explicit StartShare(const global::IClock& aClock);

  /** Part of the way from the share (0) to the normal limit (1) at endpoints
   * without a report; none if the normal limit is in force. */
  std::optional<double> Growth(const std::string& aPool,
                               size_t aReported,
                               size_t aEndpoints);
  /** Places of the gateway with the rank at one endpoint. The places of all
   * gateways together are the slots. */
  static int Places(int aSlots, size_t aRank, int aGateways);

private:
  struct Start
  {
    bool mIsStarting = true;
    /** When reports are no longer expected. */
    global::TimePoint mExpectedUntil{};
    /** When the lack of reports makes the pool start again. */
    global::TimePoint mRestartAt{};
  };

  const global::IClock& mClock;
  std::map<std::string, Start> mStarts;
};

}
