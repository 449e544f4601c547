#include "rankagent/internal/stalldetector.h"

#include <algorithm>

namespace beryllever::rankagent {

namespace {

/** Multiple of the usual duration of a pass that counts as a stall. An engine
 * may be five times slower than usual, and a pass is seen up to 0.15 s late. */
constexpr int kUsualPasses = 8;
/** Bounds of the time that counts as a stall. Callers abandon streams that are
 * silent for 2 s. */
constexpr milliseconds kMinTimeout{ 400 };
constexpr milliseconds kMaxTimeout{ 1200 };
/** Upper bound of one observed pass; longer ones count as this long. Also the
 * initial value, so that the timeout starts at its upper bound. */
constexpr global::Duration kMaxPass = kMaxTimeout / kUsualPasses;
/** Share of one observation in the usual duration, as a divisor. The state is
 * read ten times a second, so two seconds count. */
constexpr int kSmoothing = 20;

}

StallDetector::StallDetector(const global::IClock& aClock)
  : mClock(aClock)
  , mUsualPass(kMaxPass)
{
}

void
StallDetector::RecordReadStart()
{
  mReadTime = mClock.Now();
}

void
StallDetector::Reset()
{
  mHasWork = false;
  mIsStalled = false;
}

bool
StallDetector::HasWork(const RankState& aState)
{
  return aState.mIsOpen && aState.mRequests > 0;
}

milliseconds
StallDetector::Timeout() const
{
  return std::clamp(
    std::chrono::duration_cast<milliseconds>(mUsualPass * kUsualPasses),
    kMinTimeout,
    kMaxTimeout);
}

void
StallDetector::HandleState(const RankState& aState)
{
  const auto now = mClock.Now();
  const bool hadWork = mHasWork && aState.mEpoch == mEpoch;
  mHasWork = HasWork(aState);
  const bool isNewPass = !hadWork || aState.mStep != mStep;
  if (isNewPass) {
    if (hadWork && aState.mStep > mStep) {
      AddPasses(aState.mStep - mStep, now - mStepTime);
    }
    mStepTime = now;
  }
  mEpoch = aState.mEpoch;
  mStep = aState.mStep;
  mIsStalled = mHasWork && mReadTime - mStepTime >= Timeout();
}

void
StallDetector::AddPasses(uint64_t aPasses, global::Duration aTime)
{
  const auto pass =
    std::min(kMaxPass, aTime / static_cast<global::Duration::rep>(aPasses));
  mUsualPass += (pass - mUsualPass) / kSmoothing;
}

}
