#pragma once

#include "framework/global/iclock.h"
#include "published/snapshot.h"

#include <chrono>
#include <map>
#include <optional>

namespace beryllever::gateway {

using std::chrono::milliseconds;

/** How a pause that an endpoint has asked for is kept. */
struct RecordedPause
{
  /** Bounded; 0 if there is none. */
  milliseconds mLength{ 0 };
  /** The stated length is negative, not a number or too long. */
  bool mIsAbsurd = false;
  /** The endpoint was not pausing. */
  bool mIsNew = false;
};

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

  /** The endpoint takes no requests for the stated time. */
  RecordedPause RecordPause(const published::Endpoint& aEndpoint,
                            std::chrono::duration<double> aStated);
  /** End of the endpoint's pause, if it pauses. */
  std::optional<global::TimePoint> PausedUntil(
    const published::Endpoint& aEndpoint) const;
  /** When the first endpoint of a pool ends its pause, if all that are in
   * service and not leaving pause. */
  std::optional<global::TimePoint> PoolPausedUntil(
    const published::Snapshot& aSnapshot,
    const std::string& aPool) const;

  /** Forgets pauses that have ended. Bounds the number of unlisted endpoints
   * that are remembered, the most recent ones first: an endpoint that is not
   * listed may be listed again. */
  void RemoveMissing(const published::Snapshot& aSnapshot);

private:
  struct Leaving
  {
    /** Start time of the incarnation. */
    int64_t mBorn = 0;
    global::TimePoint mStatedAt{};
  };

  struct Pause
  {
    /** Start time of the incarnation. */
    int64_t mBorn = 0;
    global::TimePoint mUntil{};
  };

  const global::IClock& mClock;
  std::map<std::string, Leaving> mLeaving;
  std::map<std::string, Pause> mPauses;
};

}
