#include "routing/endpointselector.h"

#include "framework/global/hashing.h"

#include <algorithm>

namespace beryllever::routing {

namespace {

/** Above this multiple of the mean usage, affinity gives way to even load. */
constexpr double kAffinityBound = 1.25;
constexpr double kAffinityFloor = 0.25;

}

std::string_view
NameOf(Eligibility aEligibility)
{
  constexpr std::string_view kNames[] = {
    "eligible", "out_of_service", "leaving", "no_credit", "tried"
  };
  return kNames[static_cast<size_t>(aEligibility)];
}

EndpointSelector::EndpointSelector(const configuration::Tables& aTables,
                                   const configuration::VmList& aVms,
                                   const credits::LeaseTable& aWallet)
  : mTables(aTables)
  , mVms(aVms)
  , mWallet(aWallet)
{
}

std::vector<Assessment>
EndpointSelector::Assess(const configuration::Pool& aPool,
                         const Selection& aSelection) const
{
  std::vector<Assessment> list;
  for (const configuration::Endpoint& endpoint : aPool.mEndpoints) {
    list.push_back({ &endpoint,
                     EligibilityOf(endpoint, aSelection),
                     mWallet.Usage(endpoint.mAddress) });
  }
  return list;
}

const configuration::Endpoint*
EndpointSelector::Choose(const configuration::Pool& aPool,
                         const Selection& aSelection) const
{
  std::vector<Assessment> eligible = Assess(aPool, aSelection);
  std::erase_if(eligible, [](const Assessment& a_) {
    return a_.mEligibility != Eligibility::Eligible;
  });
  if (eligible.empty()) {
    return nullptr;
  }
  double sum = 0;
  for (const Assessment& assessment : eligible) {
    sum += assessment.mUsage;
  }
  const double bound =
    std::max(kAffinityFloor,
             kAffinityBound * sum / static_cast<double>(eligible.size()));
  const auto weight = [&](const Assessment& a_) {
    return global::RendezvousWeight(aSelection.mAffinityKey,
                                    a_.mEndpoint->mAddress);
  };
  const auto preferred =
    std::max_element(eligible.begin(),
                     eligible.end(),
                     [&](const Assessment& a_, const Assessment& aRight) {
                       return weight(a_) < weight(aRight);
                     });
  if (preferred->mUsage <= bound) {
    return preferred->mEndpoint;
  }
  const auto least =
    std::min_element(eligible.begin(),
                     eligible.end(),
                     [](const Assessment& a_, const Assessment& aRight) {
                       return a_.mUsage < aRight.mUsage;
                     });
  return least->mEndpoint;
}

Eligibility
EndpointSelector::EligibilityOf(const configuration::Endpoint& aEndpoint,
                                const Selection& aSelection) const
{
  if (mTables.Service().IsOut(aEndpoint.mVm, aEndpoint.mAvailabilityZone)) {
    return Eligibility::OutOfService;
  }
  if (mVms.IsLeaving(aEndpoint.mVm)) {
    return Eligibility::Leaving;
  }
  if (aSelection.mTried.contains(aEndpoint.mAddress)) {
    return Eligibility::Tried;
  }
  return mWallet.CanAcquire(aEndpoint.mAddress) ? Eligibility::Eligible
                                                : Eligibility::NoCredit;
}

}
