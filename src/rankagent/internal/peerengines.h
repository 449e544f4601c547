#pragma once

#include "framework/global/iclock.h"
#include "rankagent/internal/engineclient.h"
#include "rankagent/internal/groupport.h"

#include <map>
#include <memory>

namespace beryllever::rankagent {

/**
 * Reaches the engines of other ranks directly while their agents do not
 * answer: a group must not stand still because one agent is frozen. Calls from
 * another machine are priced, so counts are not read this way.
 */
class PeerEngines
{
public:
  PeerEngines(const global::IClock& aClock, const IEngineCodec& aCodec);

  /** Where the engine of a rank listens, as its agent has said. */
  void Learn(uint32_t aRank, const std::string& aEndpointAddress);
  /** The rank's agent has not answered; it is passed over for a while. */
  void NoteSilent(uint32_t aRank);
  bool IsAgentSilent(uint32_t aRank) const;

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
    global::TimePoint mPassedOverUntil{};
  };

  /** Null if the rank's engine is not known. */
  std::shared_ptr<EngineClient> EngineOf(uint32_t aRank);

  const global::IClock& mClock;
  const IEngineCodec& mCodec;
  std::map<uint32_t, Peer> mPeers;
};

}
