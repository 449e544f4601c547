#include "gateway/internal/endpointconnections.h"

#include <algorithm>

namespace beryllever::gateway {

namespace {

using std::chrono::milliseconds;

/** Longest idle time of a connection whose peer states none. */
constexpr milliseconds kDefaultIdleTime{ 2000 };
/** Share of the peer's stated time that is used, so that a request does not
 * cross the peer's close. */
constexpr double kUsedKeepAlive = 0.5;
constexpr size_t kMaxIdleEach = 16;

}

EndpointConnections::EndpointConnections(const global::IClock& aClock)
  : mClock(aClock)
{
}

LeasedConnection
EndpointConnections::Acquire(const published::Endpoint& aEndpoint,
                             bool aMustBeFresh)
{
  std::vector<Idle>& idle = mIdle[aEndpoint.mId];
  while (!aMustBeFresh && !idle.empty()) {
    Idle last = std::move(idle.back());
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
  std::vector<Idle>& idle = mIdle[aEndpoint.mId];
  if (!aConnection->IsReusable() || idle.size() >= kMaxIdleEach) {
    aConnection->Abort();
    return;
  }
  const auto stated = std::chrono::duration_cast<milliseconds>(
    aKeepAlive.value_or(2 * kDefaultIdleTime) * kUsedKeepAlive);
  idle.push_back({ std::move(aConnection),
                   aEndpoint.mAddress,
                   aEndpoint.mBorn,
                   mClock.Now() + std::min(stated, kDefaultIdleTime) });
}

void
EndpointConnections::Sweep(const published::Snapshot& aSnapshot)
{
  const auto now = mClock.Now();
  for (auto& [id, list] : mIdle) {
    const published::Endpoint* endpoint = aSnapshot.FindEndpoint(id);
    const bool isGone = endpoint == nullptr ||
                        endpoint->mState != published::EndpointState::Ready;
    std::erase_if(list, [&](const Idle& aIdle) {
      const bool isOver =
        isGone || aIdle.mDeadline <= now || !aIdle.mConnection->IsReusable();
      if (isOver) {
        aIdle.mConnection->Abort();
      }
      return isOver;
    });
  }
  std::erase_if(mIdle,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

void
EndpointConnections::CloseAll()
{
  for (auto& [id, list] : mIdle) {
    for (const Idle& idle : list) {
      idle.mConnection->Abort();
    }
  }
  mIdle.clear();
}

}
