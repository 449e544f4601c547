#include "gateway/endpointavailability.h"

#include <algorithm>
#include <vector>

namespace beryllever::gateway {

namespace {

/** Unlisted endpoints that are remembered as leaving; a few releases of the
 * largest pools. */
constexpr size_t kMaxUnlisted = 4096;

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

void
EndpointAvailability::RemoveMissing(const published::Snapshot& aSnapshot)
{
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
