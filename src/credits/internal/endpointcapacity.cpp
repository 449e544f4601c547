#include "credits/endpointcapacity.h"

#include <algorithm>
#include <utility>

namespace beryllever::credits {

namespace {

constexpr int kRoundsPerIncrease = 3;
/** Minimum time between two increases, however fast requests complete. */
constexpr std::chrono::milliseconds kIncreaseInterval{ 200 };
constexpr int kSlowFactor = 3;
constexpr int kSlowCompletionsPerDecrease = 3;
constexpr int kAverageSamples = 16;
constexpr int64_t kMinCacheEntries = 16;
constexpr std::chrono::microseconds kMinSlowFirstByte{ 20000 };
constexpr std::chrono::milliseconds kDecreaseInterval{ 500 };

}

EndpointCapacity::EndpointCapacity(const global::IClock& aClock,
                                   CapacityBounds aBounds)
  : mClock(aClock)
  , mBounds(aBounds)
  , mLimit(aBounds.mCold)
  , mNextIncrease(aClock.Now() + kIncreaseInterval)
{
}

void
EndpointCapacity::SetBounds(CapacityBounds aBounds)
{
  mBounds = aBounds;
  mLimit =
    std::clamp(mLimit, std::min(aBounds.mCold, aBounds.mWarm), aBounds.mWarm);
}

void
EndpointCapacity::HandleReport(const BackEndReport& aReport)
{
  const bool hasRestarted =
    mIncarnation && *mIncarnation != aReport.mIncarnation;
  if (hasRestarted || IsCacheLost(aReport.mCacheEntries)) {
    ResetToCold();
  }
  if (std::exchange(mHasLostConnection, false) && !hasRestarted) {
    Halve();
  }
  mIncarnation = aReport.mIncarnation;
  mCacheEntries = aReport.mCacheEntries;
  mIsReady = aReport.mIsReady;
}

void
EndpointCapacity::HandleReportTimeout()
{
  ResetToCold();
  mIsReady = false;
}

void
EndpointCapacity::HandleCompletion(std::chrono::microseconds aFirstByte)
{
  const bool hasAverage = mAverageFirstByte.count() > 0;
  if (hasAverage && aFirstByte > std::max(mAverageFirstByte * kSlowFactor,
                                          kMinSlowFirstByte)) {
    if (++mSlowCompletions >= kSlowCompletionsPerDecrease) {
      Halve();
    }
    return;
  }
  mSlowCompletions = 0;
  mAverageFirstByte =
    hasAverage
      ? mAverageFirstByte + (aFirstByte - mAverageFirstByte) / kAverageSamples
      : aFirstByte;
  if (++mCompletions >= mLimit * kRoundsPerIncrease &&
      mClock.Now() >= mNextIncrease) {
    mCompletions = 0;
    mNextIncrease = mClock.Now() + kIncreaseInterval;
    mLimit = std::min(mLimit + 1, mBounds.mWarm);
  }
}

void
EndpointCapacity::HandleFailure()
{
  Halve();
}

void
EndpointCapacity::HandleConnectionLoss()
{
  mHasLostConnection = true;
  mIsReady = false;
}

void
EndpointCapacity::ResetToCold()
{
  mLimit = std::min(mBounds.mCold, mBounds.mWarm);
  mNextIncrease = mClock.Now() + kIncreaseInterval;
  mCompletions = 0;
  mSlowCompletions = 0;
  mAverageFirstByte = std::chrono::microseconds(0);
}

void
EndpointCapacity::Halve()
{
  mCompletions = 0;
  mSlowCompletions = 0;
  // One cause affects many requests; it halves the limit only once.
  if (mClock.Now() < mNextDecrease) {
    return;
  }
  mNextDecrease = mClock.Now() + kDecreaseInterval;
  mLimit = std::max(std::min(mBounds.mCold, mBounds.mWarm), mLimit / 2);
}

bool
EndpointCapacity::IsCacheLost(int64_t aEntries) const
{
  return aEntries >= 0 && mCacheEntries >= kMinCacheEntries &&
         aEntries * 2 < mCacheEntries;
}

}
