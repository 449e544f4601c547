#pragma once

#include "framework/global/iclock.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace beryllever::gateway {

/** How long the requests of each route take, from their arrival to the end of
 * their answer. */
class AnswerDurations
{
public:
  void Begin(const std::string& aRoute, global::TimePoint aArrival);
  /** Ends a request that has begun. aDuration is nothing if it tells little of
   * the route, as the request was refused or its caller left. */
  void End(const std::string& aRoute,
           global::TimePoint aArrival,
           std::optional<std::chrono::milliseconds> aDuration);
  /** Returns the duration that all but one in twenty of the route's requests
   * do not exceed, of its latest answers and of those that are open so far;
   * nothing if there are too few of them to tell. */
  std::optional<std::chrono::milliseconds> UsualLongest(
    const std::string& aRoute,
    global::TimePoint aNow) const;
  /** Forgets the routes that are not among aRoutes. */
  void KeepOnly(const std::set<std::string>& aRoutes);

  static constexpr size_t kMaxAnswers = 100;
  static constexpr size_t kMinRequests = 20;

private:
  struct Route
  {
    /** The oldest is replaced first. */
    std::vector<std::chrono::milliseconds> mLatest;
    size_t mNext = 0;
    /** Arrivals of the requests that are open. */
    std::multiset<global::TimePoint> mOpen;
  };

  std::map<std::string, Route> mRoutes;
};

}
