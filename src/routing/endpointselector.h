#pragma once

#include "configuration/tables.h"
#include "configuration/vmlist.h"
#include "credits/leasetable.h"

#include <set>
#include <string>
#include <vector>

namespace beryllever::routing {

/** Why an endpoint can or cannot be chosen. */
enum class Eligibility
{
  Eligible,
  OutOfService,
  Leaving,
  NoCredit,
  Tried,
};

std::string_view
NameOf(Eligibility aEligibility);

/** An endpoint with its eligibility, for choosing and for explaining. */
struct Assessment
{
  const configuration::Endpoint* mEndpoint = nullptr;
  Eligibility mEligibility = Eligibility::Eligible;
  double mUsage = 0;
};

/** What a choice depends on besides the tables. */
struct Selection
{
  /** Requests with the same key prefer the same endpoint, for its prefix cache.
   */
  std::string mAffinityKey;
  /** Addresses that have refused this request already. */
  std::set<std::string> mTried;
};

/**
 * Chooses an endpoint of a pool: the one that the affinity key prefers while
 * its usage is near the mean, otherwise the one with the least usage.
 */
class EndpointSelector
{
public:
  EndpointSelector(const configuration::Tables& aTables,
                   const configuration::VmList& aVms,
                   const credits::LeaseTable& aWallet);

  std::vector<Assessment> Assess(const configuration::Pool& aPool,
                                 const Selection& aSelection) const;
  /** The endpoint to use, or null if none is eligible. */
  const configuration::Endpoint* Choose(const configuration::Pool& aPool,
                                        const Selection& aSelection) const;

private:
  Eligibility EligibilityOf(const configuration::Endpoint& aEndpoint,
                            const Selection& aSelection) const;

  const configuration::Tables& mTables;
  const configuration::VmList& mVms;
  const credits::LeaseTable& mWallet;
};

}
