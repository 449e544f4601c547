#include "gateway/startshare.h"

#include "framework/log/log.h"

#include <algorithm>
#include <chrono>

namespace beryllever::gateway {

namespace {

constexpr char kLogTag[] = "balancer";

/** Time for which reports are waited for. A pool without any report for longer
 * is taken to have no agents. */
constexpr std::chrono::seconds kMaxStart{ 30 };
/** Time since a request last saw a report of the pool after which the pool
 * starts again. Longer than the agents are usually cut off from a gateway by
 * lost packets. */
constexpr std::chrono::seconds kMaxTimeWithoutReports{ 3 };
/** Part of the endpoints whose reports end the start. */
constexpr double kReportedAtEnd = 0.75;

}

StartShare::StartShare(const global::IClock& aClock)
  : mClock(aClock)
{
}

std::optional<double>
StartShare::Growth(const std::string& aPool,
                   size_t aReported,
                   size_t aEndpoints)
{
  const auto now = mClock.Now();
  const auto [it, isNew] =
    mStarts.try_emplace(aPool, Start{ true, now + kMaxStart, {} });
  Start& start = it->second;
  const double reported = static_cast<double>(aReported) /
                          static_cast<double>(std::max<size_t>(1, aEndpoints));
  if (!start.mIsStarting && aReported == 0 && now >= start.mRestartAt) {
    LOGI("Load reports have stopped; the share applies. pool=" << aPool);
    start = { true, now + kMaxStart, {} };
  }
  const bool hasEnded = reported >= kReportedAtEnd ||
                        (aReported > 0 && now >= start.mExpectedUntil);
  if (start.mIsStarting && hasEnded) {
    LOGI("Load reports have arrived; normal limits apply. pool=" << aPool);
    start.mIsStarting = false;
  }
  if (aReported > 0) {
    start.mRestartAt = now + kMaxTimeWithoutReports;
  }
  if (!start.mIsStarting || now >= start.mExpectedUntil) {
    return std::nullopt;
  }
  // Up to half of the reports the reported endpoints alone add places: all
  // gateways would raise their limits at the others at the same time.
  return std::max(0.0, 2 * reported - 1);
}

int
StartShare::Places(int aSlots, size_t aRank, int aGateways)
{
  const int gateways = std::max(1, aGateways);
  const bool hasRemainder = aRank < static_cast<size_t>(aSlots % gateways);
  return aSlots / gateways + (hasRemainder ? 1 : 0);
}

}
