#include "credits/endpointcapacity.h"

#include <algorithm>
#include <utility>

namespace beryllever::credits {

namespace {

constexpr int kRoundsPerStep = 3;
/** Shortest time between two steps upwards, however fast the answers come. */
constexpr std::chrono::milliseconds kStepInterval{ 200 };
constexpr int kSlowFactor = 3;
constexpr int kSlowCompletionsForCut = 3;
constexpr int kSmoothing = 16;
constexpr int64_t kCacheEntriesThatCount = 16;
constexpr std::chrono::microseconds kSlowFloor{ 20000 };
constexpr std::chrono::milliseconds kCutInterval{ 500 };

}

EndpointCapacity::EndpointCapacity(const global::IClock& aClock,
                                   CapacityBounds aBounds)
  : mClock(aClock)
  , mBounds(aBounds)
  , mLimit(aBounds.mCold)
  , mNextIncrease(aClock.Now() + kStepInterval)
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
  const bool isNew = mIncarnation && *mIncarnation != aReport.mIncarnation;
  if (isNew || IsCacheLost(aReport.mCacheEntries)) {
    ResetToCold();
  }
  if (std::exchange(mHasLostConnection, false) && !isNew) {
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
  const bool hasUsual = mAverageFirstByte.count() > 0;
  if (hasUsual &&
      aFirstByte > std::max(mAverageFirstByte * kSlowFactor, kSlowFloor)) {
    if (++mSlowCompletions >= kSlowCompletionsForCut) {
      Halve();
    }
    return;
  }
  mSlowCompletions = 0;
  mAverageFirstByte =
    hasUsual ? mAverageFirstByte + (aFirstByte - mAverageFirstByte) / kSmoothing
             : aFirstByte;
  if (++mCompletions >= mLimit * kRoundsPerStep &&
      mClock.Now() >= mNextIncrease) {
    mCompletions = 0;
    mNextIncrease = mClock.Now() + kStepInterval;
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
  mNextIncrease = mClock.Now() + kStepInterval;
  mCompletions = 0;
  mSlowCompletions = 0;
  mAverageFirstByte = std::chrono::microseconds(0);
}

void
EndpointCapacity::Halve()
{
  mCompletions = 0;
  mSlowCompletions = 0;
  // One cause shows in many requests; it counts once.
  if (mClock.Now() < mNextDecrease) {
    return;
  }
  mNextDecrease = mClock.Now() + kCutInterval;
  mLimit = std::max(std::min(mBounds.mCold, mBounds.mWarm), mLimit / 2);
}

bool
EndpointCapacity::IsCacheLost(int64_t aEntries) const
{
  return aEntries >= 0 && mCacheEntries >= kCacheEntriesThatCount &&
         aEntries * 2 < mCacheEntries;
}

}
