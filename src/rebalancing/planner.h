#pragma once

#include "rebalancing/placement.h"

#include <chrono>
#include <cstdint>

namespace beryllever::rebalancing {

/** What a move costs and how long its gain lasts. */
struct PlannerLimits
{
  /** Bytes of one expert's weights in one layer. */
  uint64_t mExpertBytes = 0;
  /** This group's share of the weight store's rate, in bytes a second. */
  double mBytesPerSecond = 0;
  /** Time for which today's popularity is expected to last. */
  std::chrono::seconds mHorizon{ 0 };
  /** Largest number of moves in one plan. */
  size_t mMaxMoves = 0;
};

/** A changed placement and what it costs. */
struct Plan
{
  Placement mPlacement;
  size_t mMoves = 0;
  uint64_t mBytes = 0;
};

/**
 * Improves a placement by single moves: the hottest rank gives a part of its
 * load to the coolest ranks. A move is kept only if the time that it saves
 * within the horizon exceeds the time that its bytes take at the weight store.
 */
class Planner
{
public:
  explicit Planner(const PlannerLimits& aLimits);

  Plan Improve(const Placement& aCurrent, const Loads& aLoads) const;

private:
  /** A replica of an expert in place of another one. */
  struct Move
  {
    Rank mRank = 0;
    size_t mSlot = 0;
    Expert mExpert = 0;
    double mSkew = 0;
  };

  bool FindBest(const Placement& aPlacement,
                const Loads& aLoads,
                Move& aBest) const;
  bool IsWorth(double aBefore, double aAfter) const;

  const PlannerLimits mLimits;
};

}
