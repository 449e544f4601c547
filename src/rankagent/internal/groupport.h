#pragma once

#include "rankagent/mapchange.h"

#include <functional>

namespace beryllever::rankagent {

/** Data that is read from a rank in addition to its state. */
enum class SampleDepth
{
  State,
  /** The rank's experts in the current map. */
  Placement,
  /** The rank's experts in the current map, and its expert selection counts. */
  Counts,
};

/** Data read from a rank at one time. */
struct RankSample
{
  RankState mState;
  /** Selection counts by layer and expert; empty if not requested. */
  std::vector<uint64_t> mCounts;
  /** The rank's experts in the current map; empty if not requested. */
  RankExperts mExperts;
};

/** Access to all ranks of the local rank's group, including the local one. */
class IGroupPort
{
public:
  using OnSample = std::function<void(std::optional<RankSample>)>;
  using OnOutcome = std::function<void(OrderOutcome)>;
  /** Called once for each rank. */
  using OnRankOutcome = std::function<void(uint32_t, OrderOutcome)>;

  virtual ~IGroupPort() = default;

  /** Other ranks with a live agent. */
  virtual std::vector<uint32_t> LiveRanks() const = 0;
  /** Other ranks with a live agent that is eligible to lead. */
  virtual std::vector<uint32_t> EligibleRanks() const = 0;
  /** The live ranks, including the local one, in the order in which their
   * counts should be read. */
  virtual std::vector<uint32_t> RanksToCount() const = 0;
  virtual void Sample(uint32_t aRank,
                      SampleDepth aDepth,
                      OnSample aOnSample) = 0;
  virtual void Order(uint32_t aRank,
                     const RankOrder& aOrder,
                     OnOutcome aOnOutcome) = 0;
  /** Gives an order with a map to all ranks. Agents pass it on to each other,
   * so that the local link does not carry a copy for each rank. */
  virtual void OrderAll(const RankOrder& aOrder, OnRankOutcome aOnOutcome) = 0;
};

}
