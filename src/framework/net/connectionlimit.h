#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <set>

namespace beryllever::net {

class HttpCall;

/**
 * Bounds the connections that calls have at a time; further calls wait in the
 * order in which they came. Lives on the thread of its calls and outlives them.
 */
class ConnectionLimit
{
public:
  explicit ConnectionLimit(size_t aMaxConnections)
    : mMaxConnections(aMaxConnections)
  {
  }

  /** Calls the function once the call may connect: now, or when another call
   * gives its connection back. */
  void Acquire(const HttpCall& aCall, std::function<void()> aOnAcquired);
  /** Gives the call's connection back, or takes the call out of the queue. */
  void Release(const HttpCall& aCall);

private:
  struct WaitingCall
  {
    const HttpCall* mCall = nullptr;
    std::function<void()> mOnAcquired;
  };

  const size_t mMaxConnections;
  std::set<const HttpCall*> mConnected;
  std::deque<WaitingCall> mWaiting;
};

}
