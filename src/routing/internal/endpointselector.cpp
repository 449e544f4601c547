#include "routing/endpointselector.h"

#include "framework/global/hashing.h"

#include <algorithm>

namespace beryllever::routing {

namespace {

/** Multiple of the mean usage up to which the preferred endpoint is used. */
constexpr double kAffinityUsageFactor = 1.25;
/** Usage up to which the preferred endpoint is used even if the mean is lower.
 */
constexpr double kAffinityMinUsage = 0.25;

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
                         const SelectionCriteria& aCriteria) const
{
  std::vector<Assessment> assessments;
  for (const configuration::Endpoint& endpoint : aPool.mEndpoints) {
    assessments.push_back({ &endpoint,
                            EligibilityOf(endpoint, aCriteria),
                            mWallet.Usage(endpoint.mAddress) });
  }
  return assessments;
}

const configuration::Endpoint*
EndpointSelector::Choose(const configuration::Pool& aPool,
                         const SelectionCriteria& aCriteria) const
{
  std::vector<Assessment> eligible = Assess(aPool, aCriteria);
  std::erase_if(eligible, [](const Assessment& aAssessment) {
    return aAssessment.mEligibility != Eligibility::Eligible;
  });
  if (eligible.empty()) {
    return nullptr;
  }
  double sum = 0;
  for (const Assessment& assessment : eligible) {
    sum += assessment.mUsage;
  }
  const double maxUsage =
    std::max(kAffinityMinUsage,
             kAffinityUsageFactor * sum / static_cast<double>(eligible.size()));
  const auto weight = [&](const Assessment& aAssessment) {
    return global::RendezvousWeight(aCriteria.mAffinityKey,
                                    aAssessment.mEndpoint->mAddress);
  };
  const auto preferred =
    std::max_element(eligible.begin(),
                     eligible.end(),
                     [&](const Assessment& aLeft, const Assessment& aRight) {
                       return weight(aLeft) < weight(aRight);
                     });
  if (preferred->mUsage <= maxUsage) {
    return preferred->mEndpoint;
  }
  const auto leastUsed =
    std::min_element(eligible.begin(),
                     eligible.end(),
                     [](const Assessment& aLeft, const Assessment& aRight) {
                       return aLeft.mUsage < aRight.mUsage;
                     });
  return leastUsed->mEndpoint;
}

Eligibility
EndpointSelector::EligibilityOf(const configuration::Endpoint& aEndpoint,
                                const SelectionCriteria& aCriteria) const
{
  if (mTables.Service().IsOutOfService(aEndpoint.mVm,
                                       aEndpoint.mAvailabilityZone)) {
    return Eligibility::OutOfService;
  }
  if (mVms.IsLeaving(aEndpoint.mVm)) {
    return Eligibility::Leaving;
  }
  if (aCriteria.mTriedAddresses.contains(aEndpoint.mAddress)) {
    return Eligibility::Tried;
  }
  return mWallet.CanAcquire(aEndpoint.mAddress) ? Eligibility::Eligible
                                                : Eligibility::NoCredit;
}

}
