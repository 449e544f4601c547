#pragma once

#include "framework/global/iclock.h"

#include <functional>
#include <map>
#include <string>

namespace beryllever::gateway {

/** Outcome of an attempt, as evidence of the endpoint's health. */
enum class EndpointOutcome
{
  Succeeded,
  /** The endpoint stated that it did not run the request. */
  Refused,
  /** Server error, broken connection or malformed response. */
  Failed,
  /** No connection, or another endpoint at the address. */
  Unreachable,
  /** Ended for a reason that says nothing about the endpoint. */
  Inconclusive,
};

/** Recent failures of the endpoints, from the attempts of this gateway. */
class EndpointHealth
{
public:
  explicit EndpointHealth(const global::IClock& aClock);

  void RecordOutcome(const std::string& aEndpoint, EndpointOutcome aOutcome);
  /** Number of failures, exponentially decayed. */
  double FailureScore(const std::string& aEndpoint) const;
  /** Whether the endpoint was unreachable a moment ago. */
  bool IsAvoided(const std::string& aEndpoint) const;
  void RemoveIf(const std::function<bool(const std::string&)>& aIsObsolete);

private:
  struct Failures
  {
    /** Exponentially decayed count as of mUpdatedAt. */
    double mCount = 0;
    global::TimePoint mUpdatedAt{};
    global::TimePoint mAvoidUntil{};
  };

  void AddFailure(const std::string& aEndpoint, double aWeight);

  const global::IClock& mClock;
  std::map<std::string, Failures> mFailures;
};

}
