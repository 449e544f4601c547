#pragma once

#include "configuration/configurationtypes.h"
#include "spread/revisionstore.h"

#include <map>
#include <memory>

namespace beryllever::configuration {

/** Convert between a VM and an entry of a revision store. */
spread::Change
ChangeFromVm(const Vm& aVm, uint64_t aRevision);
Vm
VmFromChange(const spread::Change& aChange);

/** The platform's list of VMs at one revision. Immutable. */
class VmList
{
public:
  std::shared_ptr<const VmList> With(
    const std::vector<spread::Change>& aChanges,
    uint64_t aRevision) const;

  uint64_t Revision() const { return mRevision; }
  const std::map<std::string, Vm>& Vms() const { return mVms; }
  /** Whether the VM is listed in state Leaving. */
  bool IsLeaving(const std::string& aVm) const;

private:
  uint64_t mRevision = 0;
  std::map<std::string, Vm> mVms;
};

}
