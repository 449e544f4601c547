#include "steplease/grouplead.h"

#include <algorithm>

namespace beryllever::steplease {

GroupLead::GroupLead(Epoch aEpoch, Incarnations aIncarnations)
  : mEpoch(std::move(aEpoch))
  , mIncarnations(std::move(aIncarnations))
  , mReplies(mIncarnations.size())
{
}

std::vector<PromiseRequest>
GroupLead::PromiseRequests() const
{
  std::vector<PromiseRequest> requests;
  for (size_t i = 0; i < mReplies.size(); ++i) {
    if (!mReplies[i]) {
      requests.push_back({ mEpoch, static_cast<int>(i), mIncarnations });
    }
  }
  return requests;
}

void
GroupLead::TakePromise(const PromiseReply& aReply)
{
  const auto i = static_cast<size_t>(aReply.mRank);
  const bool isForThis = aReply.mIsPromised && aReply.mEpoch == mEpoch &&
                         i < mReplies.size() &&
                         aReply.mIncarnation == mIncarnations[i];
  if (!isForThis || mReplies[i]) {
    return;
  }
  mReplies[i] = aReply.mSchedule;
  const bool isWhole =
    std::all_of(mReplies.begin(), mReplies.end(), [](const auto& aSchedule) {
      return aSchedule.has_value();
    });
  if (isWhole) {
    JoinSchedules();
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
GroupLead::JoinSchedules()
{
  // Ranks that were left behind by an earlier lead hold a part of what others
  // hold.
  std::vector<const Schedule*> schedules;
  for (const auto& reply : mReplies) {
    schedules.push_back(&*reply);
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
