#pragma once

#include <string>
#include <vector>

namespace beryllever::spread {

/** A process that may pass on changes. */
struct Candidate
{
  std::string mVm;
  std::string mAvailabilityZone;
  std::string mAddress;
};

/** Entries of each availability zone that watch the platform; equal in every
 * process with the same list. */
std::vector<Candidate>
SelectWatchers(const std::vector<Candidate>& aEntries, size_t aPerZone);

/**
 * Candidates that a process follows, spread evenly over the candidates by
 * rendezvous hashing and over availability zones as far as there are several.
 */
std::vector<Candidate>
SelectSources(const std::string& aSelf,
              const std::vector<Candidate>& aCandidates,
              size_t aCount);

}
