#include "configuration/tables.h"

#include "configuration/tableparser.h"

namespace beryllever::configuration {

namespace {

std::string
RouteKey(const std::string& aWorkspace, const std::string& aKind)
{
  return aWorkspace + "/" + aKind;
}

bool
TakePrefix(std::string& aKey, const std::string& aPrefix)
{
  if (!aKey.starts_with(aPrefix)) {
    return false;
  }
  aKey.erase(0, aPrefix.size());
  return true;
}

void
SetMember(std::set<std::string>& aSet, const std::string& aName, bool aIsMember)
{
  if (aIsMember) {
    aSet.insert(aName);
  } else {
    aSet.erase(aName);
  }
}

}

std::shared_ptr<const Tables>
Tables::With(const std::vector<spread::Change>& aChanges,
             uint64_t aRevision) const
{
  auto next = std::make_shared<Tables>(*this);
  next->mRevision = aRevision;
  for (const spread::Change& change : aChanges) {
    next->Take(change);
  }
  return next;
}

Tables::RoutePointer
Tables::FindRoute(const std::string& aWorkspace, const std::string& aKind) const
{
  if (const auto it = mRoutes.find(RouteKey(aWorkspace, aKind));
      it != mRoutes.end()) {
    return it->second;
  }
  const auto it = mRoutes.find(RouteKey(kAnyWorkspace, aKind));
  return it == mRoutes.end() ? nullptr : it->second;
}

Tables::PoolPointer
Tables::FindPool(const std::string& aName) const
{
  const auto it = mPools.find(aName);
  return it == mPools.end() ? nullptr : it->second;
}

void
Tables::Take(const spread::Change& aChange)
{
  std::string key = aChange.mKey;
  if (TakePrefix(key, kRoutePrefix)) {
    if (aChange.mIsDeleted) {
      mRoutes.erase(key);
    } else {
      mRoutes[key] = std::make_shared<Route>(
        RouteFromJson(settings::Json::parse(aChange.mValue)));
    }
  } else if (TakePrefix(key, kPoolPrefix)) {
    if (aChange.mIsDeleted) {
      mPools.erase(key);
    } else {
      mPools[key] = std::make_shared<Pool>(
        PoolFromJson(settings::Json::parse(aChange.mValue)));
    }
  } else {
    TakeService(aChange);
  }
}

void
Tables::TakeService(const spread::Change& aChange)
{
  std::string key = aChange.mKey;
  if (TakePrefix(key, kOutZonePrefix)) {
    SetMember(mService.mOutAvailabilityZones, key, !aChange.mIsDeleted);
  } else if (TakePrefix(key, kOutVmPrefix)) {
    SetMember(mService.mOutVms, key, !aChange.mIsDeleted);
  }
}

}
