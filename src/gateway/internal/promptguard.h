#pragma once

#include "framework/metrics/metrics.h"
#include "gateway/requestcodec.h"
#include "published/publishedtypes.h"
#include "quarantine/promptquarantine.h"

#include <functional>

namespace beryllever::gateway {

/**
 * Applies the quarantine of prompt parts to the requests of this gateway, logs
 * what it decides and tells the other gateways. Lives on the traffic thread.
 */
class PromptGuard
{
public:
  using Announce = std::function<void(const quarantine::Notices&)>;

  PromptGuard(const global::IClock& aClock,
              metrics::Metrics& aMetrics,
              uint64_t aSeed);

  /** Sets how the other gateways are told. */
  void SetAnnounce(Announce aAnnounce) { mAnnounce = std::move(aAnnounce); }
  /** Why the request is not to run, if so. */
  std::optional<quarantine::Refusal> FindRefusal(
    const RequestMetadata& aRequest) const;
  void RecordRefusal(const RequestMetadata& aRequest,
                     const quarantine::Refusal& aRefusal);
  void RecordSent(const RequestMetadata& aRequest,
                  const published::Endpoint& aEndpoint);
  /** The endpoint goes on with its answer, or has completed it. */
  void RecordSound(const RequestMetadata& aRequest);
  /** The endpoint's connection has ended before its answer had gone on for a
   * while, and after the head of the answer or not. */
  void RecordBreak(const RequestMetadata& aRequest,
                   const published::Endpoint& aEndpoint,
                   bool aHasBegun);
  /** The endpoint sends data of the answer to a request sent at aSentAt. */
  void RecordAlive(const published::Endpoint& aEndpoint,
                   global::TimePoint aSentAt);
  /** Takes what another gateway tells. */
  void Apply(const quarantine::Notices& aNotices);

private:
  void Tell(const quarantine::Notices& aNotices, const std::string& aReason);

  metrics::Metrics& mMetrics;
  quarantine::PromptQuarantine mQuarantine;
  Announce mAnnounce;
};

}
