#include "distribution/snapshotgate.h"

namespace beryllever::distribution {

namespace {

constexpr std::chrono::milliseconds kPeerAnswerTime{ 1500 };

}

SnapshotGate::SnapshotGate(const global::IClock& aClock, bool aHasPeers)
  : mClock(aClock)
  , mOpenDeadline(aHasPeers ? aClock.Now() + kPeerAnswerTime : aClock.Now())
{
}

bool
SnapshotGate::IsOpen() const
{
  return mHasPeerAnswer || mClock.Now() >= mOpenDeadline;
}

}
