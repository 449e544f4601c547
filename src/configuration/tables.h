#pragma once

#include "configuration/configurationtypes.h"
#include "spread/revisionstore.h"

#include <memory>
#include <optional>
#include <unordered_map>

namespace beryllever::configuration {

/** The accepted tables at one revision. Immutable; a change makes a new object
 * that shares unchanged rows. */
class Tables
{
public:
  using RoutePointer = std::shared_ptr<const Route>;
  using PoolPointer = std::shared_ptr<const Pool>;

  /** Tables that differ from these by the given changes. */
  std::shared_ptr<const Tables> With(
    const std::vector<spread::Change>& aChanges,
    uint64_t aRevision) const;

  uint64_t Revision() const { return mRevision; }
  /** Route of a workspace and kind, or the route of any workspace; null if
   * there is none. */
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
  void Take(const spread::Change& aChange);
  void TakeService(const spread::Change& aChange);

  uint64_t mRevision = 0;
  std::unordered_map<std::string, RoutePointer> mRoutes;
  std::unordered_map<std::string, PoolPointer> mPools;
  ServiceState mService;
};

}
