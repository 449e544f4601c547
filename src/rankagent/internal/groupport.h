#pragma once

#include "rankagent/mapchange.h"

#include <functional>

namespace beryllever::rankagent {

/** All that one reading of a rank gives. */
struct RankSample
{
  RankState mState;
  /** Counts by layer and expert; empty if they were not wanted. */
  std::vector<uint64_t> mCounts;
  /** The rank's experts in the map in use. */
  RankExperts mExperts;
};

/** Reaches the ranks of this process's group, its own and others. */
class IGroupPort
{
public:
  using OnSample = std::function<void(std::optional<RankSample>)>;
  using OnOutcome = std::function<void(OrderOutcome)>;

  virtual ~IGroupPort() = default;

  /** Other ranks whose agents are alive. */
  virtual std::vector<uint32_t> LiveRanks() const = 0;
  /** Those of them that may lead. */
  virtual std::vector<uint32_t> LiveLeads() const = 0;
  virtual void Sample(uint32_t aRank,
                      bool aWantsCounts,
                      OnSample aOnSample) = 0;
  virtual void Order(uint32_t aRank,
                     const RankOrder& aOrder,
                     OnOutcome aOnOutcome) = 0;
};

}
