#pragma once

#include "rebalancing/copyplanner.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <optional>
#include <random>

namespace beryllever::rebalancing::tests {

/** Shape of a group of engines. */
struct Group
{
  size_t mRanks = 0;
  size_t mLayers = 0;
  size_t mExperts = 0;
  size_t mSlots = 0;
  size_t mSpare = 0;
  /** Exponent of the popularity of the experts. */
  double mZipf = 0;
};

using Map = std::vector<ExpertsByRank>;

/** Popularity of the experts of each layer, which shifts to others. */
class ShiftingDemand
{
public:
  ShiftingDemand(const Group& aGroup, unsigned aSeed)
    : mRandom(aSeed)
    , mLayers(aGroup.mLayers)
  {
    for (Loads& loads : mLayers) {
      for (size_t i = 1; i <= aGroup.mExperts; ++i) {
        loads.push_back(std::pow(static_cast<double>(i), -aGroup.mZipf));
      }
      std::shuffle(loads.begin(), loads.end(), mRandom);
    }
  }

  void Shift()
  {
    /** Share of the experts whose popularity changes. */
    std::bernoulli_distribution changes(0.6);
    for (Loads& loads : mLayers) {
      std::vector<Expert> experts;
      Loads moved;
      for (Expert expert = 0; expert < loads.size(); ++expert) {
        if (changes(mRandom)) {
          experts.push_back(expert);
          moved.push_back(loads[expert]);
        }
      }
      std::shuffle(moved.begin(), moved.end(), mRandom);
      for (size_t i = 0; i < experts.size(); ++i) {
        loads[experts[i]] = moved[i];
      }
    }
  }

  const std::vector<Loads>& Layers() const { return mLayers; }

private:
  std::mt19937 mRandom;
  std::vector<Loads> mLayers;
};

/** Map that assigns the experts in turn. */
inline Map
RoundRobin(const Group& aGroup)
{
  Map map(aGroup.mLayers, ExpertsByRank(aGroup.mRanks));
  for (ExpertsByRank& layer : map) {
    for (Expert expert = 0; expert < aGroup.mExperts; ++expert) {
      layer[expert % aGroup.mRanks].push_back(expert);
    }
  }
  return map;
}

/** Load of the most loaded ranks against the mean, over all layers. */
inline double
Imbalance(const Map& aMap, const std::vector<Loads>& aLoads)
{
  double largest = 0;
  double even = 0;
  for (size_t layer = 0; layer < aMap.size(); ++layer) {
    largest += MaxRankLoad(aMap[layer], aLoads[layer]);
    even += std::accumulate(aLoads[layer].begin(), aLoads[layer].end(), 0.0) /
            static_cast<double>(aMap[layer].size());
  }
  return largest / even;
}

/** Returns the number of experts that the busiest rank copies. */
inline size_t
BusiestCopies(const Map& aNext, const Map& aCurrent)
{
  std::vector<size_t> copies(aCurrent.front().size(), 0);
  for (size_t layer = 0; layer < aNext.size(); ++layer) {
    for (Rank rank = 0; rank < copies.size(); ++rank) {
      const auto& held = aCurrent[layer][rank];
      for (const Expert expert : aNext[layer][rank]) {
        const bool isHeld =
          std::find(held.begin(), held.end(), expert) != held.end();
        copies[rank] += isHeld ? 0 : 1;
      }
    }
  }
  return *std::max_element(copies.begin(), copies.end());
}

/** Chooses the next map, given the time for which demand will stay; nullopt if
 * none is worth a change. */
using Policy =
  std::function<std::optional<Map>(const Map& aCurrent,
                                   const std::vector<Loads>& aLoads,
                                   Seconds aLeft)>;

/** Times of a run of shifts. */
struct Timing
{
  Seconds mCopyTime{ 0 };
  Seconds mChangeTime{ 0 };
  /** Time after a shift at which the new demand is known. */
  Seconds mDetectionTime{ 0 };
  /** Time between two shifts. */
  Seconds mStay{ 0 };
};

constexpr double kCopySlowdown = 0.15;

/** Returns the mean duration of passes over a run of shifts; 1 if the group is
 * always balanced and copies nothing. */
inline double
MeanPassTime(const Group& aGroup,
             const Policy& aPolicy,
             const Timing& aTiming,
             unsigned aSeed)
{
  constexpr Seconds kTick{ 0.01 };
  constexpr int kShifts = 30;
  ShiftingDemand demand(aGroup, aSeed);
  std::vector<Loads> known = demand.Layers();
  Map map = RoundRobin(aGroup);
  std::optional<Map> preparing;
  Seconds readyAt{ 0 };
  bool isSettled = false;
  double sum = 0;
  size_t ticks = 0;
  for (int shift = 0; shift < kShifts; ++shift) {
    bool isKnown = false;
    for (Seconds at{ 0 }; at < aTiming.mStay; at += kTick) {
      const Seconds now = aTiming.mStay * shift + at;
      if (!isKnown && at >= aTiming.mDetectionTime) {
        known = demand.Layers();
        isKnown = true;
        isSettled = false;
      }
      if (preparing && now >= readyAt) {
        map = std::move(*preparing);
        preparing.reset();
      }
      if (!preparing && !isSettled) {
        preparing =
          aPolicy(map, known, isKnown ? aTiming.mStay - at : aTiming.mStay);
        isSettled = !preparing;
      }
      if (preparing && readyAt <= now) {
        const auto copies = static_cast<double>(BusiestCopies(*preparing, map));
        readyAt = now + aTiming.mChangeTime + aTiming.mCopyTime * copies;
      }
      sum +=
        Imbalance(map, demand.Layers()) * (preparing ? 1 + kCopySlowdown : 1);
      ++ticks;
    }
    demand.Shift();
  }
  return sum / static_cast<double>(ticks);
}

/** Policy of the product. */
inline Policy
PlanCopies(const Group& aGroup, Seconds aCopyTime, Seconds aChangeTime)
{
  constexpr double kMinGainPerCopy = 0.03;
  constexpr double kMinSaving = 0.03;
  return [=](const Map& aCurrent,
             const std::vector<Loads>& aLoads,
             Seconds aLeft) -> std::optional<Map> {
    const CopyPlanner planner({ aGroup.mSlots, aGroup.mSpare, kMinGainPerCopy },
                              { aCopyTime, aChangeTime, kCopySlowdown, aLeft });
    CopyPlan plan = planner.Improve(aCurrent, aLoads);
    if (plan.mSaving < kMinSaving) {
      return std::nullopt;
    }
    return std::move(plan.mLayers);
  };
}

}
