#include "distribution/snapshotgate.h"

namespace beryllever::distribution {

namespace {

constexpr std::chrono::milliseconds kPeerAnswerTimeout{ 1500 };

}

SnapshotGate::SnapshotGate(const global::IClock& aClock, bool aHasPeers)
  : mClock(aClock)
  , mOpenDeadline(aHasPeers ? aClock.Now() + kPeerAnswerTimeout : aClock.Now())
{
}

bool
SnapshotGate::IsOpen() const
{
  return mHasPeerAnswer || mClock.Now() >= mOpenDeadline;
}

}
