#include "gateway/internal/endpointconnections.h"

#include <algorithm>

namespace beryllever::gateway {

namespace {

using std::chrono::milliseconds;

/** Longest time for which a connection is kept idle. */
constexpr milliseconds kMaxIdleTime{ 2000 };
/** Fraction of the endpoint's stated keep-alive timeout that is used, so that
 * no request is sent while the endpoint closes the connection. */
constexpr double kKeepAliveFraction = 0.5;
/** Idle connections per endpoint. */
constexpr size_t kMaxIdlePerEndpoint = 16;

}

EndpointConnections::EndpointConnections(const global::IClock& aClock)
  : mClock(aClock)
{
}

LeasedConnection
EndpointConnections::Acquire(const published::Endpoint& aEndpoint,
                             bool aMustBeFresh)
{
  std::vector<IdleConnection>& idle = mIdle[aEndpoint.mId];
  while (!aMustBeFresh && !idle.empty()) {
    IdleConnection last = std::move(idle.back());
    idle.pop_back();
    const bool isSame =
      last.mAddress == aEndpoint.mAddress && last.mBorn == aEndpoint.mBorn;
    if (isSame && last.mDeadline > mClock.Now() &&
        last.mConnection->IsReusable()) {
      return { last.mConnection, true };
    }
    last.mConnection->Abort();
  }
  return { net::HttpClientConnection::Connect(aEndpoint.mAddress), false };
}

void
EndpointConnections::Release(
  const published::Endpoint& aEndpoint,
  std::shared_ptr<net::HttpClientConnection> aConnection,
  std::optional<milliseconds> aKeepAlive)
{
  std::vector<IdleConnection>& idle = mIdle[aEndpoint.mId];
  if (!aConnection->IsReusable() || idle.size() >= kMaxIdlePerEndpoint) {
    aConnection->Abort();
    return;
  }
  const auto idleTime = std::chrono::duration_cast<milliseconds>(
    aKeepAlive.value_or(2 * kMaxIdleTime) * kKeepAliveFraction);
  idle.push_back({ std::move(aConnection),
                   aEndpoint.mAddress,
                   aEndpoint.mBorn,
                   mClock.Now() + std::min(idleTime, kMaxIdleTime) });
}

void
EndpointConnections::CloseExpired(const published::Snapshot& aSnapshot)
{
  const auto now = mClock.Now();
  for (auto& [id, list] : mIdle) {
    const published::Endpoint* endpoint = aSnapshot.FindEndpoint(id);
    const bool isGone = endpoint == nullptr ||
                        endpoint->mState != published::EndpointState::Ready;
    std::erase_if(list, [&](const IdleConnection& aIdle) {
      const bool isExpired =
        isGone || aIdle.mDeadline <= now || !aIdle.mConnection->IsReusable();
      if (isExpired) {
        aIdle.mConnection->Abort();
      }
      return isExpired;
    });
  }
  std::erase_if(mIdle,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

void
EndpointConnections::CloseAll()
{
  for (auto& [id, list] : mIdle) {
    for (const IdleConnection& idle : list) {
      idle.mConnection->Abort();
    }
  }
  mIdle.clear();
}

}
