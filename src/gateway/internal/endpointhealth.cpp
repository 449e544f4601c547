#include "gateway/endpointhealth.h"

#include <cmath>

namespace beryllever::gateway {

namespace {

using std::chrono::duration;
using std::chrono::milliseconds;

constexpr milliseconds kFailureHalfLife{ 2000 };
/** Time for which an unreachable endpoint is avoided. */
constexpr milliseconds kUnreachableAvoidTime{ 700 };

}

EndpointHealth::EndpointHealth(const global::IClock& aClock)
  : mClock(aClock)
{
}

void
EndpointHealth::RecordOutcome(const std::string& aEndpoint,
                              EndpointOutcome aOutcome)
{
  switch (aOutcome) {
    case EndpointOutcome::Failed:
      AddFailure(aEndpoint, 1);
      break;
    case EndpointOutcome::Refused:
      AddFailure(aEndpoint, 0.5);
      break;
    case EndpointOutcome::Unreachable:
      AddFailure(aEndpoint, 1);
      mFailures[aEndpoint].mAvoidUntil = mClock.Now() + kUnreachableAvoidTime;
      break;
    case EndpointOutcome::Succeeded:
    case EndpointOutcome::Inconclusive:
      break;
  }
}

double
EndpointHealth::FailureScore(const std::string& aEndpoint) const
{
  const auto it = mFailures.find(aEndpoint);
  if (it == mFailures.end()) {
    return 0;
  }
  const double age =
    duration<double>(mClock.Now() - it->second.mUpdatedAt).count();
  return it->second.mCount *
         std::exp2(-age / duration<double>(kFailureHalfLife).count());
}

bool
EndpointHealth::IsAvoided(const std::string& aEndpoint) const
{
  const auto it = mFailures.find(aEndpoint);
  return it != mFailures.end() && mClock.Now() < it->second.mAvoidUntil;
}

void
EndpointHealth::RemoveIf(
  const std::function<bool(const std::string&)>& aIsObsolete)
{
  std::erase_if(mFailures, [&](const auto& aFailures) {
    return aIsObsolete(aFailures.first);
  });
}

void
EndpointHealth::AddFailure(const std::string& aEndpoint, double aWeight)
{
  const double count = FailureScore(aEndpoint) + aWeight;
  Failures& failures = mFailures[aEndpoint];
  failures.mCount = count;
  failures.mUpdatedAt = mClock.Now();
}

}
