#include "steplease/grouplead.h"

#include <algorithm>

namespace beryllever::steplease {

GroupLead::GroupLead(Epoch aEpoch, Incarnations aIncarnations)
  : mEpoch(std::move(aEpoch))
  , mIncarnations(std::move(aIncarnations))
  , mPromisedSchedules(mIncarnations.size())
{
}

std::vector<PromiseRequest>
GroupLead::PromiseRequests() const
{
  std::vector<PromiseRequest> requests;
  for (size_t i = 0; i < mPromisedSchedules.size(); ++i) {
    if (!mPromisedSchedules[i]) {
      requests.push_back({ mEpoch, static_cast<int>(i), mIncarnations });
    }
  }
  return requests;
}

void
GroupLead::HandlePromiseReply(const PromiseReply& aReply)
{
  const auto i = static_cast<size_t>(aReply.mRank);
  const bool isExpected = aReply.mIsPromised && aReply.mEpoch == mEpoch &&
                          i < mPromisedSchedules.size() &&
                          aReply.mIncarnation == mIncarnations[i];
  if (!isExpected || mPromisedSchedules[i]) {
    return;
  }
  mPromisedSchedules[i] = aReply.mSchedule;
  const bool isComplete =
    std::all_of(mPromisedSchedules.begin(),
                mPromisedSchedules.end(),
                [](const auto& aSchedule) { return aSchedule.has_value(); });
  if (isComplete) {
    MergeSchedules();
  }
}

void
GroupLead::Extend(MapVersion aMap, Step aEnd)
{
  if (mGranted) {
    mGranted->Append(aMap, aEnd);
  }
}

void
GroupLead::TrimBefore(Step aStep)
{
  if (mGranted) {
    mGranted->TrimBefore(aStep);
  }
}

std::vector<GrantRequest>
GroupLead::GrantRequests() const
{
  std::vector<GrantRequest> requests;
  if (!mGranted) {
    return requests;
  }
  for (size_t i = 0; i < mIncarnations.size(); ++i) {
    requests.push_back(
      { mEpoch, static_cast<int>(i), mIncarnations[i], *mGranted });
  }
  return requests;
}

void
GroupLead::MergeSchedules()
{
  // The grants of an earlier lead may not have reached all ranks, so some hold
  // only a part of the schedule of others.
  std::vector<const Schedule*> schedules;
  for (const auto& schedule : mPromisedSchedules) {
    schedules.push_back(&*schedule);
  }
  std::sort(schedules.begin(),
            schedules.end(),
            [](const Schedule* aLeft, const Schedule* aRight) {
              return aLeft->Horizon() > aRight->Horizon();
            });
  const Schedule& longest = *schedules.front();
  const bool isAgreed = std::all_of(
    schedules.begin(), schedules.end(), [&](const Schedule* aOther) {
      return longest.AgreesWith(*aOther);
    });
  if (isAgreed) {
    mGranted = longest;
  }
}

}
