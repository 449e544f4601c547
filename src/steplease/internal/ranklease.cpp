#include "steplease/ranklease.h"

namespace beryllever::steplease {

RankLease::RankLease(int aRank,
                     size_t aRanks,
                     uint64_t aIncarnation,
                     Schedule aSchedule)
  : mRank(aRank)
  , mIncarnation(aIncarnation)
  , mKnownIncarnations(aRanks, 0)
  , mSchedule(std::move(aSchedule))
{
  mKnownIncarnations[static_cast<size_t>(aRank)] = aIncarnation;
}

PromiseReply
RankLease::HandlePromiseRequest(const PromiseRequest& aRequest)
{
  PromiseReply reply{ aRequest.mEpoch, mRank,     false,
                      mIncarnation,    mPromised, mSchedule };
  if (aRequest.mIncarnations.size() != mKnownIncarnations.size()) {
    return reply;
  }
  const bool isAddressee =
    aRequest.mIncarnations[static_cast<size_t>(mRank)] == mIncarnation;
  // A lead repeats its request if the reply was lost, so the promised epoch is
  // accepted again.
  if (!isAddressee || aRequest.mEpoch < mPromised ||
      IsOutdated(aRequest.mIncarnations)) {
    return reply;
  }
  mPromised = aRequest.mEpoch;
  mKnownIncarnations = aRequest.mIncarnations;
  reply.mIsPromised = true;
  reply.mPromised = mPromised;
  return reply;
}

bool
RankLease::HandleGrantRequest(const GrantRequest& aRequest)
{
  const bool isCurrent =
    aRequest.mIncarnation == mIncarnation && aRequest.mEpoch == mPromised;
  if (!isCurrent || !aRequest.mSchedule.Extends(mSchedule)) {
    return false;
  }
  mSchedule = aRequest.mSchedule;
  return true;
}

bool
RankLease::IsOutdated(const Incarnations& aIncarnations) const
{
  for (size_t i = 0; i < mKnownIncarnations.size(); ++i) {
    if (aIncarnations[i] < mKnownIncarnations[i]) {
      return true;
    }
  }
  return false;
}

}
