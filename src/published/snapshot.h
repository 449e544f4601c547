#pragma once

#include "published/publishedtypes.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace beryllever::published {

/** The published items as known to a process at one moment; immutable. */
class Snapshot
{
public:
  using Endpoints = std::map<std::string, Endpoint>;

  Snapshot(std::shared_ptr<const Configuration> aConfiguration,
           Endpoints aEndpoints,
           std::set<std::string> aOutZones,
           uint64_t aRevision);

  /** Whether any configuration is known. */
  bool IsKnown() const { return mConfiguration != nullptr; }
  const Configuration& Tables() const { return *mConfiguration; }
  uint64_t Revision() const { return mRevision; }
  int64_t Version() const { return IsKnown() ? mConfiguration->mVersion : 0; }

  /** Route of the host with the longest prefix that matches the path, or null.
   */
  const Route* FindRoute(std::string_view aHost, std::string_view aPath) const;
  const Pool* FindPool(const std::string& aName) const;
  const Workspace* FindWorkspace(const std::string& aKey) const;
  const Endpoint* FindEndpoint(const std::string& aId) const;
  const Endpoints& AllEndpoints() const { return mEndpoints; }
  /** Endpoints of a pool that may get new requests. */
  std::vector<const Endpoint*> UsableEndpoints(const std::string& aPool) const;
  bool IsUsable(const Endpoint& aEndpoint) const;
  /** Whether requests of the pool have different priorities. */
  bool HasPriorities(const std::string& aPool) const;
  const std::set<std::string>& OutZones() const { return mOutZones; }

private:
  std::shared_ptr<const Configuration> mConfiguration;
  Endpoints mEndpoints;
  std::set<std::string> mOutZones;
  uint64_t mRevision = 0;
  std::unordered_map<std::string, std::vector<const Route*>> mRoutesByHost;
};

}
