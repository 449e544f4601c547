#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace beryllever::gateway {

/** How long the latest answers of each route took, from the arrival of the
 * request to the end of the answer. */
class AnswerDurations
{
public:
  void Record(const std::string& aRoute, std::chrono::milliseconds aDuration);
  /** Returns the duration that all but one in twenty of the route's latest
   * answers did not exceed; nothing if there are too few of them to tell. */
  std::optional<std::chrono::milliseconds> UsualLongest(
    const std::string& aRoute) const;
  /** Forgets the routes that are not among aRoutes. */
  void KeepOnly(const std::set<std::string>& aRoutes);

  static constexpr size_t kMaxAnswers = 100;
  static constexpr size_t kMinAnswers = 20;

private:
  /** The latest answers of a route; the oldest is replaced first. */
  struct Latest
  {
    std::vector<std::chrono::milliseconds> mDurations;
    size_t mNext = 0;
  };

  std::map<std::string, Latest> mRoutes;
};

}
