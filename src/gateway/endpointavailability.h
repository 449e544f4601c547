#pragma once

#include "framework/global/iclock.h"
#include "published/snapshot.h"

#include <map>

namespace beryllever::gateway {

/**
 * What endpoints have said in their responses about taking requests. Each
 * statement holds for the incarnation that made it, whatever the store lists.
 */
class EndpointAvailability
{
public:
  explicit EndpointAvailability(const global::IClock& aClock);

  /** The endpoint takes no new requests until it starts anew. Returns whether
   * this was not known. */
  bool RecordLeaving(const published::Endpoint& aEndpoint);
  bool IsLeaving(const published::Endpoint& aEndpoint) const;

  /** Bounds the number of unlisted endpoints that are remembered, the most
   * recent ones first: an endpoint that is not listed may be listed again. */
  void RemoveMissing(const published::Snapshot& aSnapshot);

private:
  struct Leaving
  {
    /** Start time of the incarnation. */
    int64_t mBorn = 0;
    global::TimePoint mStatedAt{};
  };

  const global::IClock& mClock;
  std::map<std::string, Leaving> mLeaving;
};

}
