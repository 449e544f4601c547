#pragma once

#include "mesh.pb.h"
#include "rankagent/ranktypes.h"

#include <deque>
#include <optional>

namespace beryllever::rankagent {

/** The last maps that this agent was told of. */
class MapHistory
{
public:
  void Add(const KnownMap& aMap);
  /** Returns nullptr if the map is not known. */
  std::shared_ptr<const KnownMap> Find(uint64_t aEpoch,
                                       uint64_t aVersion) const;

private:
  std::deque<std::shared_ptr<const KnownMap>> mMaps;
};

/** Returns the map with the experts of each rank in ascending order, as maps
 * are compared. */
ExpertMap
Sorted(ExpertMap aMap);

/** Writes a map as what differs from another one with as many layers and ranks.
 */
void
WriteChanges(const ExpertMap& aMap,
             const KnownMap& aBase,
             mesh::v1::MapChanges& aMessage);

/** Returns nullopt if the message does not yield the map that was written. */
std::optional<ExpertMap>
ApplyChanges(const mesh::v1::MapChanges& aMessage, const ExpertMap& aBase);

/** Whether both maps have the same layers and ranks. */
bool
HaveSameShape(const ExpertMap& aLeft, const ExpertMap& aRight);

}
