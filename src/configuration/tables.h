#pragma once

#include "configuration/configurationtypes.h"
#include "spread/revisionstore.h"

#include <memory>
#include <optional>
#include <unordered_map>

namespace beryllever::configuration {

/** The accepted tables at one revision. Immutable: changes are applied to a
 * copy that shares the unchanged rows. */
class Tables
{
public:
  using RoutePointer = std::shared_ptr<const Route>;
  using PoolPointer = std::shared_ptr<const Pool>;

  /** Returns a copy of these tables with the changes applied. */
  std::shared_ptr<const Tables> With(
    const std::vector<spread::Change>& aChanges,
    uint64_t aRevision) const;

  uint64_t Revision() const { return mRevision; }
  /** Returns the route of a workspace and request kind, else the default route
   * of the kind, else null. */
  RoutePointer FindRoute(const std::string& aWorkspace,
                         const std::string& aKind) const;
  PoolPointer FindPool(const std::string& aName) const;
  const ServiceState& Service() const { return mService; }
  const std::unordered_map<std::string, PoolPointer>& Pools() const
  {
    return mPools;
  }
  size_t RouteCount() const { return mRoutes.size(); }

private:
  void ApplyChange(const spread::Change& aChange);
  void ApplyServiceChange(const spread::Change& aChange);

  uint64_t mRevision = 0;
  std::unordered_map<std::string, RoutePointer> mRoutes;
  std::unordered_map<std::string, PoolPointer> mPools;
  ServiceState mService;
};

}
