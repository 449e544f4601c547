#include "framework/net/connectionlimit.h"

namespace beryllever::net {

void
ConnectionLimit::Acquire(const HttpCall& aCall,
                         std::function<void()> aOnAcquired)
{
  if (mConnected.size() >= mMaxConnections) {
    mWaiting.push_back({ &aCall, std::move(aOnAcquired) });
    return;
  }
  mConnected.insert(&aCall);
  aOnAcquired();
}

void
ConnectionLimit::Release(const HttpCall& aCall)
{
  std::erase_if(mWaiting, [&](const WaitingCall& aWaiting) {
    return aWaiting.mCall == &aCall;
  });
  if (mConnected.erase(&aCall) == 0 || mWaiting.empty()) {
    return;
  }
  const WaitingCall next = std::move(mWaiting.front());
  mWaiting.pop_front();
  mConnected.insert(next.mCall);
  next.mOnAcquired();
}

}
