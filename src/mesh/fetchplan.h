#pragma once

#include "framework/global/iclock.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace beryllever::mesh {

/** A peer that has published items which this process lacks. */
struct FetchSource
{
  std::string mAddress;
  bool mIsGateway = false;
  bool mIsInSameZone = false;
  global::TimePoint mLastHeard{};
};

/**
 * Chooses the peers to fetch published items from. If the peer that was asked
 * does not answer soon, another one is asked as well, so that one that has
 * stopped does not hold up a change.
 */
class FetchPlan
{
public:
  explicit FetchPlan(const global::IClock& aClock)
    : mClock(aClock)
  {
  }

  /** The peer to ask now, if any. Of equally good ones, the first. */
  std::optional<std::string> Choose(
    const std::vector<FetchSource>& aSources) const;
  void RecordStart(const std::string& aAddress);
  /** The call has ended. A peer that has not brought anything new is asked
   * after the others for a while. */
  void RecordEnd(const std::string& aAddress, bool aHasHelped);
  size_t Pending() const { return mStarts.size(); }

private:
  bool IsSuspect(const std::string& aAddress) const;

  const global::IClock& mClock;
  /** When each call that is under way was started. */
  std::map<std::string, global::TimePoint> mStarts;
  /** Until when each peer that has not helped is asked after the others. */
  std::map<std::string, global::TimePoint> mSuspects;
};

/** Time after which another peer is asked as well. A whole configuration takes
 * less, also on a small share of a core. */
inline constexpr std::chrono::milliseconds kFetchHedgeDelay{ 300 };

}
