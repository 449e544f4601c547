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
  , mBears(aBounds.mCold)
  , mNextStep(aClock.Now() + kStepInterval)
{
}

void
EndpointCapacity::SetBounds(CapacityBounds aBounds)
{
  mBounds = aBounds;
  mBears =
    std::clamp(mBears, std::min(aBounds.mCold, aBounds.mWarm), aBounds.mWarm);
}

void
EndpointCapacity::TakeReport(const BackEndReport& aReport)
{
  const bool isNew = mIncarnation && *mIncarnation != aReport.mIncarnation;
  if (isNew || IsCacheLost(aReport.mCacheEntries)) {
    TurnCold();
  }
  if (std::exchange(mHasBroken, false) && !isNew) {
    Halve();
  }
  mIncarnation = aReport.mIncarnation;
  mCacheEntries = aReport.mCacheEntries;
  mIsReady = aReport.mIsReady;
}

void
EndpointCapacity::TakeSilence()
{
  TurnCold();
  mIsReady = false;
}

void
EndpointCapacity::TakeCompletion(std::chrono::microseconds aFirstByte)
{
  const bool hasUsual = mUsualFirstByte.count() > 0;
  if (hasUsual &&
      aFirstByte > std::max(mUsualFirstByte * kSlowFactor, kSlowFloor)) {
    if (++mSlowCompletions >= kSlowCompletionsForCut) {
      Halve();
    }
    return;
  }
  mSlowCompletions = 0;
  mUsualFirstByte =
    hasUsual ? mUsualFirstByte + (aFirstByte - mUsualFirstByte) / kSmoothing
             : aFirstByte;
  if (++mCompletions >= mBears * kRoundsPerStep && mClock.Now() >= mNextStep) {
    mCompletions = 0;
    mNextStep = mClock.Now() + kStepInterval;
    mBears = std::min(mBears + 1, mBounds.mWarm);
  }
}

void
EndpointCapacity::TakeFailure()
{
  Halve();
}

void
EndpointCapacity::TakeBreak()
{
  mHasBroken = true;
  mIsReady = false;
}

void
EndpointCapacity::TurnCold()
{
  mBears = std::min(mBounds.mCold, mBounds.mWarm);
  mNextStep = mClock.Now() + kStepInterval;
  mCompletions = 0;
  mSlowCompletions = 0;
  mUsualFirstByte = std::chrono::microseconds(0);
}

void
EndpointCapacity::Halve()
{
  mCompletions = 0;
  mSlowCompletions = 0;
  // One cause shows in many requests; it counts once.
  if (mClock.Now() < mNextCut) {
    return;
  }
  mNextCut = mClock.Now() + kCutInterval;
  mBears = std::max(std::min(mBounds.mCold, mBounds.mWarm), mBears / 2);
}

bool
EndpointCapacity::IsCacheLost(int64_t aEntries) const
{
  return aEntries >= 0 && mCacheEntries >= kCacheEntriesThatCount &&
         aEntries * 2 < mCacheEntries;
}

}
