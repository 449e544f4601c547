#include "gateway/endpointavailability.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace beryllever::gateway {

namespace {

/** Unlisted endpoints that are remembered as leaving; a few releases of the
 * largest pools. */
constexpr size_t kMaxUnlisted = 4096;
/** Longest pause that is respected. Endpoints recover within seconds; a longer
 * one is an error and must not take the endpoint out for good. */
constexpr std::chrono::duration<double> kMaxPause = std::chrono::seconds(60);

}

EndpointAvailability::EndpointAvailability(const global::IClock& aClock)
  : mClock(aClock)
{
}

bool
EndpointAvailability::RecordLeaving(const published::Endpoint& aEndpoint)
{
  const Leaving leaving{ aEndpoint.mBorn, mClock.Now() };
  const auto [it, isNew] = mLeaving.try_emplace(aEndpoint.mId, leaving);
  if (isNew) {
    return true;
  }
  if (aEndpoint.mBorn <= it->second.mBorn) {
    return false;
  }
  it->second = leaving;
  return true;
}

bool
EndpointAvailability::IsLeaving(const published::Endpoint& aEndpoint) const
{
  const auto it = mLeaving.find(aEndpoint.mId);
  return it != mLeaving.end() && aEndpoint.mBorn <= it->second.mBorn;
}

RecordedPause
EndpointAvailability::RecordPause(const published::Endpoint& aEndpoint,
                                  std::chrono::duration<double> aStated)
{
  // Written so that what is not a number asks for no pause.
  const bool isPause = aStated.count() > 0;
  if (!isPause) {
    return { .mIsAbsurd = aStated.count() != 0 };
  }
  RecordedPause recorded{ .mLength = std::chrono::ceil<milliseconds>(
                            std::min(aStated, kMaxPause)),
                          .mIsAbsurd = aStated > kMaxPause,
                          .mIsNew = !PausedUntil(aEndpoint) };
  Pause& pause = mPauses[aEndpoint.mId];
  const global::TimePoint until = mClock.Now() + recorded.mLength;
  if (aEndpoint.mBorn > pause.mBorn) {
    pause = { aEndpoint.mBorn, until };
  } else if (aEndpoint.mBorn == pause.mBorn) {
    pause.mUntil = std::max(pause.mUntil, until);
  }
  return recorded;
}

std::optional<global::TimePoint>
EndpointAvailability::PausedUntil(const published::Endpoint& aEndpoint) const
{
  const auto it = mPauses.find(aEndpoint.mId);
  if (it == mPauses.end() || aEndpoint.mBorn > it->second.mBorn ||
      it->second.mUntil <= mClock.Now()) {
    return std::nullopt;
  }
  return it->second.mUntil;
}

std::optional<global::TimePoint>
EndpointAvailability::PoolPausedUntil(const published::Snapshot& aSnapshot,
                                      const std::string& aPool) const
{
  std::optional<global::TimePoint> earliest;
  for (const published::Endpoint* endpoint : aSnapshot.UsableEndpoints(aPool)) {
    if (IsLeaving(*endpoint)) {
      continue;
    }
    const auto until = PausedUntil(*endpoint);
    if (!until) {
      return std::nullopt;
    }
    earliest = std::min(earliest.value_or(*until), *until);
  }
  return earliest;
}

void
EndpointAvailability::RemoveMissing(const published::Snapshot& aSnapshot)
{
  std::erase_if(mPauses, [now = mClock.Now()](const auto& aPause) {
    return aPause.second.mUntil <= now;
  });
  if (mLeaving.size() <= kMaxUnlisted) {
    return;
  }
  std::vector<std::pair<global::TimePoint, std::string>> unlisted;
  for (const auto& [id, leaving] : mLeaving) {
    if (aSnapshot.FindEndpoint(id) == nullptr) {
      unlisted.emplace_back(leaving.mStatedAt, id);
    }
  }
  std::ranges::sort(unlisted);
  for (size_t i = 0; i + kMaxUnlisted < unlisted.size(); ++i) {
    mLeaving.erase(unlisted[i].second);
  }
}

}
