#include "gateway/answerdurations.h"

#include <algorithm>

namespace beryllever::gateway {

namespace {

/** One in so many answers may take longer than the usual longest. */
constexpr size_t kLongerPeriod = 20;

}

void
AnswerDurations::Record(const std::string& aRoute,
                        std::chrono::milliseconds aDuration)
{
  Latest& latest = mRoutes[aRoute];
  if (latest.mDurations.size() < kMaxAnswers) {
    latest.mDurations.push_back(aDuration);
    return;
  }
  latest.mDurations[latest.mNext] = aDuration;
  latest.mNext = (latest.mNext + 1) % kMaxAnswers;
}

std::optional<std::chrono::milliseconds>
AnswerDurations::UsualLongest(const std::string& aRoute) const
{
  const auto it = mRoutes.find(aRoute);
  if (it == mRoutes.end() || it->second.mDurations.size() < kMinAnswers) {
    return std::nullopt;
  }
  auto durations = it->second.mDurations;
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
