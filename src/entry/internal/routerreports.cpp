#include "entry/internal/router.h"

#include "routing/endpointselector.h"

namespace beryllever::entry {

using settings::Json;

Json
Router::Explain(const std::string& aWorkspace, const std::string& aKind) const
{
  const auto tables = mConfiguration->CurrentTables();
  const auto vms = mConfiguration->CurrentVms();
  Json report{ { "workspace", aWorkspace },
               { "kind", aKind },
               { "revision", tables->Revision() } };
  const auto route = tables->FindRoute(aWorkspace, aKind);
  if (!route) {
    report["verdict"] = "no route for this workspace and kind";
    return report;
  }
  report["pool"] = route->mPool;
  report["idempotent"] = route->mIsIdempotent;
  report["route"] = route->mWorkspace + "/" + route->mKind;
  const auto pool = tables->FindPool(route->mPool);
  Json endpoints = Json::array();
  int eligible = 0;
  for (const auto& assessment :
       routing::EndpointSelector(*tables, *vms, mLeases).Assess(*pool, {})) {
    eligible += assessment.mEligibility == routing::Eligibility::Eligible;
    endpoints.push_back(
      { { "vm", assessment.mEndpoint->mVm },
        { "availabilityZone", assessment.mEndpoint->mAvailabilityZone },
        { "address", assessment.mEndpoint->mAddress },
        { "verdict", routing::NameOf(assessment.mEligibility) },
        { "usage", assessment.mUsage } });
  }
  report["endpoints"] = endpoints;
  report["verdict"] = std::to_string(eligible) + " of " +
                      std::to_string(endpoints.size()) +
                      " endpoints are eligible";
  return report;
}

Json
Router::Status() const
{
  Json credits = Json::array();
  for (const auto& [address, state] : mLeases.States()) {
    const auto link = mLinks.find(address);
    credits.push_back(
      { { "endpoint", address },
        { "connected", link != mLinks.end() && link->second->IsConnected() },
        { "slots", state.mLease.mSlots },
        { "unleased", state.mUnleased },
        { "bears", state.mCapacity },
        { "inUse", state.mInUse } });
  }
  Json waiting = Json::object();
  for (const auto& [pool, queue] : mQueues) {
    waiting[pool] = queue.mQueue.Size();
  }
  return { { "credits", credits }, { "waiting", waiting } };
}

}
