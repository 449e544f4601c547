#pragma once

#include "framework/global/iclock.h"
#include "rankagent/internal/engineclient.h"
#include "rankagent/internal/groupport.h"

#include <QObject>
#include <map>
#include <memory>

namespace beryllever::rankagent {

/**
 * Calls the engines of other ranks directly while their agents do not answer,
 * so that one frozen agent does not stall the group. Calls from another machine
 * incur a cost, so counts are not read this way.
 */
class PeerEngines
{
public:
  PeerEngines(const global::IClock& aClock, const IEngineCodec& aCodec);

  /** Sets the address of a rank's engine, as announced by its agent. */
  void SetEngineAddress(uint32_t aRank, const std::string& aEndpointAddress);
  /** Bypasses the agent of a rank for a while because it did not answer. */
  void BypassAgent(uint32_t aRank);
  bool IsAgentBypassed(uint32_t aRank) const;

  /** Reads a rank, but no more often than its report changes. */
  void Sample(uint32_t aRank,
              SampleDepth aDepth,
              IGroupPort::OnSample aOnSample);
  void Order(uint32_t aRank,
             const RankOrder& aOrder,
             IGroupPort::OnOutcome aOnOutcome);

private:
  struct Peer
  {
    std::string mAddress;
    std::shared_ptr<EngineClient> mEngine;
    global::TimePoint mBypassedUntil{};
    global::TimePoint mNextReadTime{};
  };

  void Read(uint32_t aRank,
            SampleDepth aDepth,
            const IGroupPort::OnSample& aOnSample);

  /** Returns null if the address of the rank's engine is not known. */
  std::shared_ptr<EngineClient> FindEngine(uint32_t aRank);

  const global::IClock& mClock;
  const IEngineCodec& mCodec;
  QObject mContext;
  std::map<uint32_t, Peer> mPeers;
};

}
