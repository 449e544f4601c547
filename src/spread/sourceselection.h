#pragma once

#include <string>
#include <vector>

namespace beryllever::spread {

/** A process that changes may be received from. */
struct Candidate
{
  std::string mVm;
  std::string mAvailabilityZone;
  std::string mAddress;
};

/** Selects the entries of each availability zone that watch the platform. The
 * result is the same in every process with the same entries, whatever their
 * order. */
std::vector<Candidate>
SelectWatchers(const std::vector<Candidate>& aEntries, size_t aPerZone);

/**
 * Selects the candidates that a process follows. Followers are distributed
 * evenly over the candidates by rendezvous hashing; the candidates of one
 * process are in different availability zones as far as there are several.
 */
std::vector<Candidate>
SelectSources(const std::string& aSelf,
              const std::vector<Candidate>& aCandidates,
              size_t aCount);

}
