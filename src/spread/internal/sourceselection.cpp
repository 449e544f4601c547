#include "spread/sourceselection.h"

#include "framework/global/hashing.h"

#include <algorithm>
#include <map>
#include <set>

namespace beryllever::spread {

namespace {

constexpr char kWatchKey[] = "watch";

std::vector<Candidate>
ByWeight(const std::string& aKey, std::vector<Candidate> aCandidates)
{
  std::sort(aCandidates.begin(),
            aCandidates.end(),
            [&](const Candidate& a_, const Candidate& aRight) {
              return global::RendezvousWeight(aKey, a_.mVm) >
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
  for (const Candidate& candidate : ByWeight(kWatchKey, aEntries)) {
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
  std::vector<Candidate> first;
  std::vector<Candidate> rest;
  std::set<std::string> zones;
  for (const Candidate& candidate : ByWeight(aSelf, aCandidates)) {
    if (candidate.mVm == aSelf) {
      continue;
    }
    const bool isNewZone = zones.insert(candidate.mAvailabilityZone).second;
    (isNewZone ? first : rest).push_back(candidate);
  }
  first.insert(first.end(), rest.begin(), rest.end());
  first.resize(std::min(first.size(), aCount));
  return first;
}

}
