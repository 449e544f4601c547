#include "gateway/answerdurations.h"

#include <algorithm>

namespace beryllever::gateway {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/** One in so many requests may take longer than the usual longest. */
constexpr size_t kLongerPeriod = 20;

}

void
AnswerDurations::Begin(const std::string& aRoute, global::TimePoint aArrival)
{
  mRoutes[aRoute].mOpen.insert(aArrival);
}

void
AnswerDurations::End(const std::string& aRoute,
                     global::TimePoint aArrival,
                     std::optional<milliseconds> aDuration)
{
  const auto it = mRoutes.find(aRoute);
  if (it == mRoutes.end()) {
    return;
  }
  Route& route = it->second;
  if (const auto open = route.mOpen.find(aArrival); open != route.mOpen.end()) {
    route.mOpen.erase(open);
  }
  if (!aDuration) {
    return;
  }
  if (route.mLatest.size() < kMaxAnswers) {
    route.mLatest.push_back(*aDuration);
    return;
  }
  route.mLatest[route.mNext] = *aDuration;
  route.mNext = (route.mNext + 1) % kMaxAnswers;
}

std::optional<milliseconds>
AnswerDurations::UsualLongest(const std::string& aRoute,
                              global::TimePoint aNow) const
{
  const auto it = mRoutes.find(aRoute);
  if (it == mRoutes.end()) {
    return std::nullopt;
  }
  std::vector<milliseconds> durations = it->second.mLatest;
  for (const global::TimePoint arrival : it->second.mOpen) {
    durations.push_back(duration_cast<milliseconds>(aNow - arrival));
  }
  if (durations.size() < kMinRequests) {
    return std::nullopt;
  }
  const auto longer = durations.size() / kLongerPeriod;
  const auto usual = durations.end() - 1 - static_cast<std::ptrdiff_t>(longer);
  std::nth_element(durations.begin(), usual, durations.end());
  return *usual;
}

void
AnswerDurations::KeepOnly(const std::set<std::string>& aRoutes)
{
  std::erase_if(mRoutes, [&](const auto& aEntry) {
    return !aRoutes.contains(aEntry.first);
  });
}

}
