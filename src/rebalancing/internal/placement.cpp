#include "rebalancing/placement.h"

#include <algorithm>
#include <numeric>
#include <queue>

namespace beryllever::rebalancing {

namespace {

/** Returns the number of replicas of each expert, at least 1. Every additional
 * replica goes to the expert with the largest load per replica that has fewer
 * than aRanks replicas, until aTotalSlots are used. */
std::vector<size_t>
ReplicaCounts(const Loads& aLoads, size_t aTotalSlots, size_t aRanks)
{
  std::vector<size_t> replicas(aLoads.size(), 1);
  using Share = std::pair<double, Expert>;
  std::priority_queue<Share> shares;
  for (Expert expert = 0; expert < aLoads.size(); ++expert) {
    shares.emplace(aLoads[expert], expert);
  }
  for (size_t used = aLoads.size(); used < aTotalSlots && !shares.empty();) {
    const Expert expert = shares.top().second;
    shares.pop();
    if (replicas[expert] >= aRanks) {
      continue;
    }
    ++replicas[expert];
    ++used;
    shares.emplace(aLoads[expert] / static_cast<double>(replicas[expert]),
                   expert);
  }
  return replicas;
}

}

Placement::Placement(size_t aExperts, std::vector<std::vector<Expert>> aSlots)
  : mSlots(std::move(aSlots))
  , mReplicas(aExperts, 0)
{
  for (const auto& slots : mSlots) {
    for (const Expert expert : slots) {
      ++mReplicas[expert];
    }
  }
}

Placement
Placement::RoundRobin(size_t aExperts, size_t aRanks, size_t aSlotsPerRank)
{
  std::vector<std::vector<Expert>> slots(aRanks);
  for (size_t i = 0; i < aRanks * aSlotsPerRank; ++i) {
    slots[i % aRanks].push_back(i % aExperts);
  }
  return Placement(aExperts, std::move(slots));
}

Placement
Placement::Balanced(const Loads& aLoads, size_t aRanks, size_t aSlotsPerRank)
{
  const std::vector<size_t> replicas =
    ReplicaCounts(aLoads, aRanks * aSlotsPerRank, aRanks);
  std::vector<std::pair<double, Expert>> shares;
  for (Expert expert = 0; expert < aLoads.size(); ++expert) {
    shares.insert(
      shares.end(),
      replicas[expert],
      { aLoads[expert] / static_cast<double>(replicas[expert]), expert });
  }
  std::sort(shares.rbegin(), shares.rend());
  std::vector<std::vector<Expert>> slots(aRanks);
  std::vector<double> loads(aRanks, 0);
  // Each replica goes to a rank with a free slot: preferably one that does not
  // hold the expert yet, and among these the least loaded one.
  for (const auto& [share, expert] : shares) {
    Rank best = aRanks;
    bool isBestDuplicate = true;
    for (Rank rank = 0; rank < aRanks; ++rank) {
      if (slots[rank].size() >= aSlotsPerRank) {
        continue;
      }
      const bool isDuplicate =
        std::count(slots[rank].begin(), slots[rank].end(), expert) > 0;
      const bool isBetter =
        best == aRanks || (isBestDuplicate && !isDuplicate) ||
        (isBestDuplicate == isDuplicate && loads[rank] < loads[best]);
      if (isBetter) {
        best = rank;
        isBestDuplicate = isDuplicate;
      }
    }
    slots[best].push_back(expert);
    loads[best] += share;
  }
  return Placement(aLoads.size(), std::move(slots));
}

bool
Placement::Holds(Rank aRank, Expert aExpert) const
{
  return std::find(mSlots[aRank].begin(), mSlots[aRank].end(), aExpert) !=
         mSlots[aRank].end();
}

std::vector<double>
Placement::RankLoads(const Loads& aLoads) const
{
  std::vector<double> loads(mSlots.size(), 0);
  for (Rank rank = 0; rank < mSlots.size(); ++rank) {
    for (const Expert expert : mSlots[rank]) {
      loads[rank] += aLoads[expert] / static_cast<double>(mReplicas[expert]);
    }
  }
  return loads;
}

double
Placement::Skew(const Loads& aLoads) const
{
  const std::vector<double> loads = RankLoads(aLoads);
  const double sum = std::accumulate(loads.begin(), loads.end(), 0.0);
  const double largest = *std::max_element(loads.begin(), loads.end());
  return sum > 0 ? largest * static_cast<double>(loads.size()) / sum : 1;
}

void
Placement::Replace(Rank aRank, size_t aSlot, Expert aExpert)
{
  --mReplicas[mSlots[aRank][aSlot]];
  mSlots[aRank][aSlot] = aExpert;
  ++mReplicas[aExpert];
}

size_t
Placement::MovesFrom(const Placement& aOther) const
{
  size_t moves = 0;
  for (Rank rank = 0; rank < mSlots.size(); ++rank) {
    std::vector<Expert> own = mSlots[rank];
    std::vector<Expert> other = aOther.mSlots[rank];
    std::sort(own.begin(), own.end());
    std::sort(other.begin(), other.end());
    std::vector<Expert> added;
    std::set_difference(own.begin(),
                        own.end(),
                        other.begin(),
                        other.end(),
                        std::back_inserter(added));
    moves += added.size();
  }
  return moves;
}

}
