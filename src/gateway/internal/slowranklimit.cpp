#include "gateway/slowranklimit.h"

#include "framework/log/log.h"

#include <algorithm>

namespace beryllever::gateway {

namespace {

constexpr char kLogTag[] = "balancer";

/** Slowdown from which a rank gets no requests. */
constexpr double kSlowFrom = 2;
/** Slowdown below which a slow rank gets requests again. Lower than kSlowFrom,
 * so that a rank is not filled anew whenever its slowdown wavers around it. */
constexpr double kSlowUntil = 1.6;
/** Slowdown, relative to the pool, that counts as normal variation. */
constexpr double kVariation = 1.2;
/** Bound on what an agent may report. */
constexpr double kMaxSlowdown = 1000;
/** Slow ranks are excluded while at most one of this many is slow. */
constexpr size_t kExcludeOneOf = 4;

}

SlowRankLimit::SlowRankLimit(const global::IClock& aClock)
  : mClock(aClock)
{
}

void
SlowRankLimit::RecordReport(const std::string& aEndpoint, double aSlowdown)
{
  const auto previous = mRanks.find(aEndpoint);
  const bool wasSlow = previous != mRanks.end() && previous->second.mIsSlow;
  const bool isSlow = aSlowdown >= (wasSlow ? kSlowUntil : kSlowFrom);
  if (isSlow != wasSlow) {
    LOGI("An endpoint " << (isSlow ? "has become slow" : "is no longer slow")
                        << ". endpoint=" << aEndpoint
                        << " slowdown=" << aSlowdown);
  }
  mRanks[aEndpoint] = { std::min(std::max(1.0, aSlowdown), kMaxSlowdown),
                        isSlow,
                        mClock.Now() + kMaxReportAge };
}

void
SlowRankLimit::RemoveMissing(const published::Snapshot& aSnapshot)
{
  std::erase_if(mRanks, [&](const auto& aRank) {
    return aSnapshot.FindEndpoint(aRank.first) == nullptr;
  });
}

PoolSlowness
SlowRankLimit::Assess(
  const std::vector<const published::Endpoint*>& aEndpoints) const
{
  if (aEndpoints.empty()) {
    return {};
  }
  std::vector<double> slowdowns;
  size_t slow = 0;
  for (const published::Endpoint* endpoint : aEndpoints) {
    const Rank* rank = Find(endpoint->mId);
    slowdowns.push_back(rank != nullptr ? rank->mSlowdown : 1);
    slow += rank != nullptr && rank->mIsSlow ? 1 : 0;
  }
  const auto middle =
    slowdowns.begin() + static_cast<std::ptrdiff_t>(slowdowns.size() / 2);
  std::nth_element(slowdowns.begin(), middle, slowdowns.end());
  return { *middle, slow * kExcludeOneOf <= aEndpoints.size() };
}

double
SlowRankLimit::Factor(const published::Endpoint& aEndpoint,
                      const PoolSlowness& aPool) const
{
  const Rank* rank = Find(aEndpoint.mId);
  if (rank == nullptr) {
    return 1;
  }
  if (rank->mIsSlow && aPool.mCanExclude) {
    return 0;
  }
  const double relative = rank->mSlowdown / aPool.mUsual;
  return relative <= kVariation ? 1 : 1 / relative;
}

const SlowRankLimit::Rank*
SlowRankLimit::Find(const std::string& aEndpoint) const
{
  const auto it = mRanks.find(aEndpoint);
  return it != mRanks.end() && mClock.Now() < it->second.mValidUntil
           ? &it->second
           : nullptr;
}

}
