#include "published/priorities.h"

namespace beryllever::published {

namespace {

/** Priorities that workspaces have in place of their routes'. */
std::set<int>
WorkspacePriorities(const Configuration& aConfiguration)
{
  std::set<int> priorities;
  for (const auto& [key, workspace] : aConfiguration.mWorkspacesByKey) {
    if (workspace.mPriority) {
      priorities.insert(*workspace.mPriority);
    }
  }
  return priorities;
}

}

std::set<std::string>
FindPrioritizedPools(const Configuration& aConfiguration)
{
  const std::set<int> ofWorkspaces = WorkspacePriorities(aConfiguration);
  std::map<std::string, std::set<int>> prioritiesByPool;
  for (const Route& route : aConfiguration.mRoutes) {
    for (const RouteTarget& target : route.mTargets) {
      std::set<int>& priorities = prioritiesByPool[target.mPool];
      priorities.insert(route.mPriority);
      priorities.insert(ofWorkspaces.begin(), ofWorkspaces.end());
    }
  }
  std::set<std::string> pools;
  for (const auto& [pool, priorities] : prioritiesByPool) {
    if (priorities.size() > 1) {
      pools.insert(pool);
    }
  }
  return pools;
}

}
