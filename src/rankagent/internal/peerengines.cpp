#include "rankagent/internal/peerengines.h"

#include "framework/log/log.h"
#include "transport/post.h"

#include <QTimer>
#include <algorithm>

namespace beryllever::rankagent {

namespace {

constexpr char kLogTag[] = "rank";
/** Time for which an agent that did not answer is bypassed. A frozen agent
 * recovers within seconds. */
constexpr std::chrono::milliseconds kBypassTime{ 1500 };
/** Shortest interval between two reads of a rank. Its report to another machine
 * is some hundred milliseconds old, and a change reads each rank a limited
 * number of times. */
constexpr std::chrono::milliseconds kReadInterval{ 40 };

}

PeerEngines::PeerEngines(const global::IClock& aClock,
                         const IEngineCodec& aCodec)
  : mClock(aClock)
  , mCodec(aCodec)
{
}

void
PeerEngines::SetEngineAddress(uint32_t aRank,
                              const std::string& aEndpointAddress)
{
  Peer& peer = mPeers[aRank];
  if (peer.mAddress != aEndpointAddress) {
    peer = { .mAddress = aEndpointAddress };
  }
}

void
PeerEngines::BypassAgent(uint32_t aRank)
{
  const auto it = mPeers.find(aRank);
  if (it == mPeers.end()) {
    return;
  }
  if (!IsAgentBypassed(aRank)) {
    LOGW("A rank's agent does not answer; its engine is asked directly. rank="
         << aRank << " endpoint=" << it->second.mAddress);
  }
  it->second.mBypassedUntil = mClock.Now() + kBypassTime;
}

bool
PeerEngines::IsAgentBypassed(uint32_t aRank) const
{
  const auto it = mPeers.find(aRank);
  return it != mPeers.end() && mClock.Now() < it->second.mBypassedUntil;
}

std::shared_ptr<EngineClient>
PeerEngines::FindEngine(uint32_t aRank)
{
  const auto it = mPeers.find(aRank);
  if (it == mPeers.end()) {
    return nullptr;
  }
  Peer& peer = it->second;
  if (!peer.mEngine) {
    peer.mEngine = std::make_shared<EngineClient>(
      net::ParseTcpAddress(peer.mAddress), mCodec);
  }
  return peer.mEngine;
}

void
PeerEngines::Sample(uint32_t aRank,
                    SampleDepth aDepth,
                    IGroupPort::OnSample aOnSample)
{
  const auto it = mPeers.find(aRank);
  if (it == mPeers.end()) {
    aOnSample(std::nullopt);
    return;
  }
  const auto now = mClock.Now();
  const auto time = std::max(now, it->second.mNextReadTime);
  it->second.mNextReadTime = time + kReadInterval;
  if (time == now) {
    Read(aRank, aDepth, aOnSample);
    return;
  }
  QTimer::singleShot(
    std::chrono::ceil<std::chrono::milliseconds>(time - now),
    Qt::PreciseTimer,
    &mContext,
    [this, aRank, aDepth, aOnSample] { Read(aRank, aDepth, aOnSample); });
}

void
PeerEngines::Read(uint32_t aRank,
                  SampleDepth aDepth,
                  const IGroupPort::OnSample& aOnSample)
{
  const auto engine = FindEngine(aRank);
  if (!engine) {
    aOnSample(std::nullopt);
    return;
  }
  engine->ReadState(
    [this, engine, aDepth, aOnSample](std::optional<RankState> aState) {
      transport::Post(&mContext, [engine] {});
      if (aState) {
        aState->mMayLag = true;
      }
      if (!aState || aDepth == SampleDepth::State) {
        aOnSample(aState ? std::optional(RankSample{ .mState = *aState })
                         : std::nullopt);
        return;
      }
      engine->ReadPlacement([state = *aState, aOnSample](
                              const std::optional<RankPlacement>& aPlacement) {
        RankSample sample{ .mState = state };
        if (aPlacement && aPlacement->mVersion == state.mMapVersion) {
          sample.mExperts = aPlacement->mExperts;
        }
        aOnSample(std::move(sample));
      });
    });
}

void
PeerEngines::Order(uint32_t aRank,
                   const RankOrder& aOrder,
                   IGroupPort::OnOutcome aOnOutcome)
{
  const auto engine = FindEngine(aRank);
  if (!engine) {
    aOnOutcome(OrderOutcome::Unknown);
    return;
  }
  // The engine may be replaced before it answers.
  engine->Order(aOrder, [this, engine, aOnOutcome](OrderOutcome aOutcome) {
    aOnOutcome(aOutcome);
    transport::Post(&mContext, [engine] {});
  });
}

}
