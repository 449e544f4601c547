#pragma once

#include "framework/global/iclock.h"

namespace beryllever::distribution {

/**
 * Holds back what a starting process has read from the platform until its peers
 * have been heard or a time limit has passed, so that a stale platform cannot
 * put an old revision in force here after a newer one is in force elsewhere.
 */
class SnapshotGate
{
public:
  SnapshotGate(const global::IClock& aClock, bool aHasPeers);

  void TakePeerAnswer() { mHasPeerAnswer = true; }
  bool IsOpen() const;

private:
  const global::IClock& mClock;
  const global::TimePoint mOpenDeadline;
  bool mHasPeerAnswer = false;
};

}
