#include "configuration/vmlist.h"

#include <nlohmann/json.hpp>

namespace beryllever::configuration {

using Json = nlohmann::json;

spread::Change
ChangeFromVm(const Vm& aVm, uint64_t aRevision)
{
  const Json json{ { "name", aVm.mName },
                   { "availabilityZone", aVm.mAvailabilityZone },
                   { "role", aVm.mRole },
                   { "callerAddress", aVm.mCallerAddress },
                   { "peerAddress", aVm.mPeerAddress },
                   { "operatorAddress", aVm.mOperatorAddress },
                   { "state",
                     aVm.mState == VmState::Leaving ? "leaving" : "live" } };
  return { aVm.mName, json.dump(), aRevision, false };
}

Vm
VmFromChange(const spread::Change& aChange)
{
  const Json json = Json::parse(aChange.mValue);
  return { .mName = json["name"],
           .mAvailabilityZone = json["availabilityZone"],
           .mRole = json["role"],
           .mCallerAddress = json["callerAddress"],
           .mPeerAddress = json["peerAddress"],
           .mOperatorAddress = json["operatorAddress"],
           .mState =
             json["state"] == "leaving" ? VmState::Leaving : VmState::Live };
}

std::shared_ptr<const VmList>
VmList::With(const std::vector<spread::Change>& aChanges,
             uint64_t aRevision) const
{
  auto copy = std::make_shared<VmList>(*this);
  copy->mRevision = aRevision;
  for (const spread::Change& change : aChanges) {
    if (change.mIsDeleted) {
      copy->mVms.erase(change.mKey);
    } else {
      copy->mVms[change.mKey] = VmFromChange(change);
    }
  }
  return copy;
}

bool
VmList::IsLeaving(const std::string& aVm) const
{
  const auto it = mVms.find(aVm);
  return it != mVms.end() && it->second.mState == VmState::Leaving;
}

}
