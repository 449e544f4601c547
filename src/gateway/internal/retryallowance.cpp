#include "gateway/retryallowance.h"

#include <algorithm>

namespace beryllever::gateway {

namespace {

/** Part of the bound that is used: requests on the way when the window closes
 * count in the next one. */
constexpr double kUsedShare = 0.8;

void
DropBefore(std::deque<global::TimePoint>& aTimes, global::TimePoint aStart)
{
  while (!aTimes.empty() && aTimes.front() < aStart) {
    aTimes.pop_front();
  }
}

}

RetryAllowance::RetryAllowance(const global::IClock& aClock)
  : mClock(aClock)
{
}

void
RetryAllowance::NoteRequest()
{
  DropOld();
  mRequests.push_back(mClock.Now());
}

bool
RetryAllowance::TrySpend()
{
  DropOld();
  const double allowed =
    kUsedShare * (mBounds.mRatio * static_cast<double>(mRequests.size()) +
                  mBounds.mExtra / std::max(1, mBounds.mEntries));
  if (static_cast<double>(mRepeats.size()) + 1 > allowed) {
    return false;
  }
  mRepeats.push_back(mClock.Now());
  return true;
}

void
RetryAllowance::DropOld()
{
  const auto start = mClock.Now() - mBounds.mWindow;
  DropBefore(mRequests, start);
  DropBefore(mRepeats, start);
}

}
