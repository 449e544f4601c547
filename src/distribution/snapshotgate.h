#pragma once

#include "framework/global/iclock.h"

namespace beryllever::distribution {

/**
 * Defers the snapshots that a starting process reads from the platform until a
 * peer has answered or a time limit has passed. Otherwise a stale read could
 * put an old revision in force here after a newer one is in force elsewhere.
 */
class SnapshotGate
{
public:
  SnapshotGate(const global::IClock& aClock, bool aHasPeers);

  void HandlePeerAnswer() { mHasPeerAnswer = true; }
  bool IsOpen() const;

private:
  const global::IClock& mClock;
  const global::TimePoint mOpenDeadline;
  bool mHasPeerAnswer = false;
};

}
