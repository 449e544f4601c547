#include "spread/sourceselection.h"

#include "framework/global/hashing.h"

#include <algorithm>
#include <map>
#include <set>

namespace beryllever::spread {

namespace {

constexpr char kWatcherKey[] = "watch";

std::vector<Candidate>
SortedByWeight(const std::string& aKey, std::vector<Candidate> aCandidates)
{
  std::sort(aCandidates.begin(),
            aCandidates.end(),
            [&](const Candidate& aLeft, const Candidate& aRight) {
              return global::RendezvousWeight(aKey, aLeft.mVm) >
                     global::RendezvousWeight(aKey, aRight.mVm);
            });
  return aCandidates;
}

}

std::vector<Candidate>
SelectWatchers(const std::vector<Candidate>& aEntries, size_t aPerZone)
{
  std::map<std::string, size_t> taken;
  std::vector<Candidate> watchers;
  for (const Candidate& candidate : SortedByWeight(kWatcherKey, aEntries)) {
    if (taken[candidate.mAvailabilityZone]++ < aPerZone) {
      watchers.push_back(candidate);
    }
  }
  return watchers;
}

std::vector<Candidate>
SelectSources(const std::string& aSelf,
              const std::vector<Candidate>& aCandidates,
              size_t aCount)
{
  std::vector<Candidate> oneOfEachZone;
  std::vector<Candidate> rest;
  std::set<std::string> zones;
  for (const Candidate& candidate : SortedByWeight(aSelf, aCandidates)) {
    if (candidate.mVm == aSelf) {
      continue;
    }
    const bool isNewZone = zones.insert(candidate.mAvailabilityZone).second;
    (isNewZone ? oneOfEachZone : rest).push_back(candidate);
  }
  oneOfEachZone.insert(oneOfEachZone.end(), rest.begin(), rest.end());
  oneOfEachZone.resize(std::min(oneOfEachZone.size(), aCount));
  return oneOfEachZone;
}

}
