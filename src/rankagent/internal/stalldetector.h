#pragma once

#include "framework/global/iclock.h"
#include "rankagent/ranktypes.h"

namespace beryllever::rankagent {

using std::chrono::milliseconds;

/**
 * Tells whether a group that has requests starts no passes any more. The time
 * without a pass that counts as a stall follows from the usual duration of a
 * pass.
 */
class StallDetector
{
public:
  explicit StallDetector(const global::IClock& aClock);

  /** Records when the state of the rank is requested. The next state is no
   * older than this, however late it is received. */
  void RecordReadStart();
  /** Takes the state that was asked for last. */
  void HandleState(const RankState& aState);
  /** Forgets the last state, so that the time without a state does not count
   * as a stall. */
  void Reset();
  bool IsStalled() const { return mIsStalled; }
  /** Time without a pass that counts as a stall. */
  milliseconds Timeout() const;

private:
  /** Whether the group is expected to start passes. */
  static bool HasWork(const RankState& aState);
  void AddPasses(uint64_t aPasses, global::Duration aTime);

  const global::IClock& mClock;
  global::TimePoint mReadTime{};
  /** When the current pass was first seen, or the group had work again. */
  global::TimePoint mStepTime{};
  bool mHasWork = false;
  uint64_t mEpoch = 0;
  uint64_t mStep = 0;
  global::Duration mUsualPass;
  bool mIsStalled = false;
};

}
