#include "published/snapshot.h"

#include <algorithm>

namespace beryllever::published {

Snapshot::Snapshot(std::shared_ptr<const Configuration> aConfiguration,
                   Endpoints aEndpoints,
                   std::set<std::string> aOutZones,
                   uint64_t aRevision)
  : mConfiguration(std::move(aConfiguration))
  , mEndpoints(std::move(aEndpoints))
  , mOutZones(std::move(aOutZones))
  , mRevision(aRevision)
{
  if (!mConfiguration) {
    return;
  }
  for (const Route& route : mConfiguration->mRoutes) {
    mRoutesByHost[route.mHost].push_back(&route);
  }
  for (auto& [host, routes] : mRoutesByHost) {
    std::stable_sort(routes.begin(),
                     routes.end(),
                     [](const Route* aLeft, const Route* aRight) {
                       return aLeft->mPrefix.size() > aRight->mPrefix.size();
                     });
  }
}

const Route*
Snapshot::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  const auto it = mRoutesByHost.find(std::string(aHost));
  if (it == mRoutesByHost.end()) {
    return nullptr;
  }
  for (const Route* route : it->second) {
    if (aPath.starts_with(route->mPrefix)) {
      return route;
    }
  }
  return nullptr;
}

const Pool*
Snapshot::FindPool(const std::string& aName) const
{
  if (!IsKnown()) {
    return nullptr;
  }
  const auto it = mConfiguration->mPools.find(aName);
  return it == mConfiguration->mPools.end() ? nullptr : &it->second;
}

const Workspace*
Snapshot::FindWorkspace(const std::string& aKey) const
{
  const auto it = mConfiguration->mWorkspacesByKey.find(aKey);
  return it == mConfiguration->mWorkspacesByKey.end() ? nullptr : &it->second;
}

const Endpoint*
Snapshot::FindEndpoint(const std::string& aId) const
{
  const auto it = mEndpoints.find(aId);
  return it == mEndpoints.end() ? nullptr : &it->second;
}

bool
Snapshot::IsUsable(const Endpoint& aEndpoint) const
{
  return aEndpoint.mState == EndpointState::Ready &&
         !mOutZones.contains(aEndpoint.mAvailabilityZone);
}

bool
Snapshot::HasPriorities(const std::string& aPool) const
{
  return IsKnown() && mConfiguration->mPrioritizedPools.contains(aPool);
}

std::vector<const Endpoint*>
Snapshot::UsableEndpoints(const std::string& aPool) const
{
  std::vector<const Endpoint*> usable;
  for (const auto& [id, endpoint] : mEndpoints) {
    if (endpoint.mPool == aPool && IsUsable(endpoint)) {
      usable.push_back(&endpoint);
    }
  }
  return usable;
}

}
