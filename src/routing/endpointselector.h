#pragma once

#include "configuration/tables.h"
#include "configuration/vmlist.h"
#include "credits/leasetable.h"

#include <set>
#include <string>
#include <vector>

namespace beryllever::routing {

/** Whether an endpoint can be selected, or else the reason why not. */
enum class Eligibility
{
  Eligible,
  /** The operators have taken its Vm or availability zone out of service. */
  OutOfService,
  /** Its Vm is shutting down. */
  Leaving,
  /** This entry holds no free slot of the endpoint, or avoids it for now. */
  NoCredit,
  /** It has already refused this request. */
  Tried,
};

std::string_view
NameOf(Eligibility aEligibility);

/** An endpoint of a pool, as assessed for one request. */
struct Assessment
{
  const configuration::Endpoint* mEndpoint = nullptr;
  Eligibility mEligibility = Eligibility::Eligible;
  /** Slots in use by this entry as a fraction of the endpoint's capacity. */
  double mUsage = 0;
};

/** Properties of a request that affect which endpoint is selected. */
struct SelectionCriteria
{
  /** Requests with the same key prefer the same endpoint, so that they can
   * reuse its prefix cache. */
  std::string mAffinityKey;
  /** Addresses of the endpoints that have already refused this request. */
  std::set<std::string> mTriedAddresses;
};

/**
 * Selects an endpoint of a pool by rendezvous hashing with bounded load: the
 * endpoint preferred by the affinity key as long as its usage is close to the
 * mean, otherwise the endpoint with the lowest usage.
 */
class EndpointSelector
{
public:
  EndpointSelector(const configuration::Tables& aTables,
                   const configuration::VmList& aVms,
                   const credits::LeaseTable& aWallet);

  /** Assesses every endpoint of the pool, in the order of the pool. */
  std::vector<Assessment> Assess(const configuration::Pool& aPool,
                                 const SelectionCriteria& aCriteria) const;
  /** Returns the endpoint to use, or null if none is eligible. */
  const configuration::Endpoint* Choose(
    const configuration::Pool& aPool,
    const SelectionCriteria& aCriteria) const;

private:
  Eligibility EligibilityOf(const configuration::Endpoint& aEndpoint,
                            const SelectionCriteria& aCriteria) const;

  const configuration::Tables& mTables;
  const configuration::VmList& mVms;
  const credits::LeaseTable& mWallet;
};

}
