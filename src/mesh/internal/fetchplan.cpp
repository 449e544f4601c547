#include "mesh/fetchplan.h"

#include <algorithm>
#include <tuple>

namespace beryllever::mesh {

namespace {

using std::chrono::milliseconds;

/** Number of peers that are asked at the same time, at most. */
constexpr size_t kMaxFetches = 3;
/** Time without a heartbeat after which a peer is asked after the others: two
 * gossip rounds and some delay. */
constexpr milliseconds kFreshTime{ 700 };
/** Time for which a peer that has not helped is asked after the others. */
constexpr milliseconds kSuspicionTime{ 3000 };

}

std::optional<std::string>
FetchPlan::Choose(const std::vector<FetchSource>& aSources) const
{
  const auto now = mClock.Now();
  const bool isWaiting =
    std::any_of(mStarts.begin(), mStarts.end(), [&](const auto& aStart) {
      return now - aStart.second < kFetchHedgeDelay;
    });
  if (isWaiting || mStarts.size() >= kMaxFetches) {
    return std::nullopt;
  }
  std::vector<FetchSource> free;
  std::copy_if(aSources.begin(),
               aSources.end(),
               std::back_inserter(free),
               [this](const FetchSource& aSource) {
                 return !mStarts.contains(aSource.mAddress);
               });
  // Fewer drawbacks come first; the most important one is compared first.
  const auto drawbacks = [&](const FetchSource& aSource) {
    return std::tuple(IsSuspect(aSource.mAddress),
                      now - aSource.mLastHeard > kFreshTime,
                      !aSource.mIsGateway,
                      !aSource.mIsInSameZone);
  };
  const auto best =
    std::min_element(free.begin(),
                     free.end(),
                     [&](const FetchSource& aLeft, const FetchSource& aRight) {
                       return drawbacks(aLeft) < drawbacks(aRight);
                     });
  if (best == free.end()) {
    return std::nullopt;
  }
  return best->mAddress;
}

void
FetchPlan::RecordStart(const std::string& aAddress)
{
  const auto now = mClock.Now();
  std::erase_if(mSuspects,
                [&](const auto& aSuspect) { return aSuspect.second <= now; });
  mStarts[aAddress] = now;
}

void
FetchPlan::RecordEnd(const std::string& aAddress, bool aHasHelped)
{
  mStarts.erase(aAddress);
  if (aHasHelped) {
    mSuspects.erase(aAddress);
    return;
  }
  mSuspects[aAddress] = mClock.Now() + kSuspicionTime;
}

bool
FetchPlan::IsSuspect(const std::string& aAddress) const
{
  const auto it = mSuspects.find(aAddress);
  return it != mSuspects.end() && it->second > mClock.Now();
}

}
