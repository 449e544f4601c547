#pragma once

#include "steplease/stepleasetypes.h"

#include <optional>
#include <vector>

namespace beryllever::steplease {

/**
 * The lead of a group in one epoch. It grants maps only after every rank has
 * promised, and only for steps after all those that any rank may already run.
 * Requiring all ranks does not reduce availability, because a lock-step group
 * needs every rank for each step anyway.
 */
class GroupLead
{
public:
  /** Addresses these incarnations of the ranks' agents. */
  GroupLead(Epoch aEpoch, Incarnations aIncarnations);

  const Epoch& OwnEpoch() const { return mEpoch; }
  /** Requests to the ranks that have not promised yet; may be sent any number
   * of times. */
  std::vector<PromiseRequest> PromiseRequests() const;
  void HandlePromiseReply(const PromiseReply& aReply);
  /** Whether every rank has promised and their schedules agree. */
  bool IsLeading() const { return mGranted.has_value(); }

  /** Assigns a map to the steps from the horizon up to aEnd. Has no effect
   * before all ranks have promised. */
  void Extend(MapVersion aMap, Step aEnd);
  /** Discards steps that all ranks have completed. */
  void TrimBefore(Step aStep);
  /** Requests to all ranks with the whole granted schedule; may be sent any
   * number of times. */
  std::vector<GrantRequest> GrantRequests() const;
  const Schedule& Granted() const { return *mGranted; }

  // clang-tidy 14 mistakes the defaulted comparison for a literal zero.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const GroupLead&) const = default;

private:
  void MergeSchedules();

  Epoch mEpoch;
  Incarnations mIncarnations;
  std::vector<std::optional<Schedule>> mPromisedSchedules;
  std::optional<Schedule> mGranted;
};

}
