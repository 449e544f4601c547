#pragma once

#include "rebalancing/placement.h"

#include <chrono>
#include <cstdint>

namespace beryllever::rebalancing {

/** Cost of a move and the period over which it has to pay off. */
struct PlannerLimits
{
  /** Size of one expert's weights in one layer. */
  uint64_t mExpertBytes = 0;
  /** This group's share of the weight store's bandwidth. */
  double mBytesPerSecond = 0;
  /** Time for which the current popularity is expected to last. */
  std::chrono::seconds mHorizon{ 0 };
  size_t mMaxMoves = 0;
};

/** New placement, with the moves and bytes needed to reach it. */
struct Plan
{
  Placement mPlacement;
  size_t mMoves = 0;
  uint64_t mBytes = 0;
};

/**
 * Improves a placement by single moves that shift load from the most loaded
 * rank to the least loaded ones. A move is made only if it saves more time
 * within the horizon than the weight store needs to transfer the expert.
 */
class Planner
{
public:
  explicit Planner(const PlannerLimits& aLimits);

  Plan Improve(const Placement& aCurrent, const Loads& aLoads) const;

private:
  /** Puts a replica of an expert into the slot of another expert. */
  struct Move
  {
    Rank mRank = 0;
    size_t mSlot = 0;
    Expert mExpert = 0;
    double mSkew = 0;
  };

  bool FindBestMove(const Placement& aPlacement,
                    const Loads& aLoads,
                    Move& aBest) const;
  bool IsWorthwhile(double aBefore, double aAfter) const;

  const PlannerLimits mLimits;
};

}
