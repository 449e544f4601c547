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
StripPrefix(std::string& aKey, const std::string& aPrefix)
{
  if (!aKey.starts_with(aPrefix)) {
    return false;
  }
  aKey.erase(0, aPrefix.size());
  return true;
}

void
SetMembership(std::set<std::string>& aSet,
              const std::string& aName,
              bool aIsMember)
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
  auto copy = std::make_shared<Tables>(*this);
  copy->mRevision = aRevision;
  for (const spread::Change& change : aChanges) {
    copy->ApplyChange(change);
  }
  return copy;
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
Tables::ApplyChange(const spread::Change& aChange)
{
  std::string key = aChange.mKey;
  if (StripPrefix(key, kRoutePrefix)) {
    if (aChange.mIsDeleted) {
      mRoutes.erase(key);
    } else {
      mRoutes[key] = std::make_shared<Route>(
        RouteFromJson(settings::Json::parse(aChange.mValue)));
    }
  } else if (StripPrefix(key, kPoolPrefix)) {
    if (aChange.mIsDeleted) {
      mPools.erase(key);
    } else {
      mPools[key] = std::make_shared<Pool>(
        PoolFromJson(settings::Json::parse(aChange.mValue)));
    }
  } else {
    ApplyServiceChange(aChange);
  }
}

void
Tables::ApplyServiceChange(const spread::Change& aChange)
{
  std::string key = aChange.mKey;
  if (StripPrefix(key, kOutZonePrefix)) {
    SetMembership(
      mService.mOutOfServiceAvailabilityZones, key, !aChange.mIsDeleted);
  } else if (StripPrefix(key, kOutVmPrefix)) {
    SetMembership(mService.mOutOfServiceVms, key, !aChange.mIsDeleted);
  }
}

}
