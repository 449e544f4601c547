#pragma once

#include "steplease/stepleasetypes.h"

#include <optional>
#include <vector>

namespace beryllever::steplease {

/**
 * Leads a group under one epoch. It grants maps only after every rank has
 * promised, and only past every step that any rank may already run. Lock-step
 * needs every rank for each step anyway, so asking all of them costs no
 * availability.
 */
class GroupLead
{
public:
  /** Aims at these incarnations of the ranks' agents. */
  GroupLead(Epoch aEpoch, Incarnations aIncarnations);

  const Epoch& OwnEpoch() const { return mEpoch; }
  /** Requests to the ranks that have not promised yet; may be sent again at
   * will. */
  std::vector<PromiseRequest> PromiseRequests() const;
  void TakePromise(const PromiseReply& aReply);
  /** Whether every rank has promised and their schedules agree. */
  bool IsLeading() const { return mGranted.has_value(); }

  /** Gives the steps up to an end step a map. Without effect before all have
   * promised. */
  void Extend(MapVersion aMap, Step aEnd);
  /** Forgets steps that the group has left behind. */
  void TrimBefore(Step aStep);
  /** Orders to all ranks with all that is granted; may be sent again at will.
   */
  std::vector<GrantRequest> GrantRequests() const;
  const Schedule& Granted() const { return *mGranted; }

  // Version 14 of the linter takes the defaulted comparison for a literal zero.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const GroupLead&) const = default;

private:
  void JoinSchedules();

  Epoch mEpoch;
  Incarnations mIncarnations;
  std::vector<std::optional<Schedule>> mReplies;
  std::optional<Schedule> mGranted;
};

}
