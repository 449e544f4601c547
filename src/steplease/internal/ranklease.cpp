#include "steplease/ranklease.h"

namespace beryllever::steplease {

RankLease::RankLease(int aRank,
                     size_t aRanks,
                     uint64_t aIncarnation,
                     Schedule aSchedule)
  : mRank(aRank)
  , mIncarnation(aIncarnation)
  , mKnown(aRanks, 0)
  , mSchedule(std::move(aSchedule))
{
  mKnown[static_cast<size_t>(aRank)] = aIncarnation;
}

PromiseReply
RankLease::TakePromise(const PromiseRequest& aRequest)
{
  PromiseReply reply{ aRequest.mEpoch, mRank,     false,
                      mIncarnation,    mPromised, mSchedule };
  if (aRequest.mIncarnations.size() != mKnown.size()) {
    return reply;
  }
  const bool isForThis =
    aRequest.mIncarnations[static_cast<size_t>(mRank)] == mIncarnation;
  // A request of the promised epoch comes again when the reply was lost.
  if (!isForThis || aRequest.mEpoch < mPromised ||
      IsOutdated(aRequest.mIncarnations)) {
    return reply;
  }
  mPromised = aRequest.mEpoch;
  mKnown = aRequest.mIncarnations;
  reply.mIsPromised = true;
  reply.mPromised = mPromised;
  return reply;
}

bool
RankLease::TakeGrant(const GrantRequest& aRequest)
{
  const bool isForThis =
    aRequest.mIncarnation == mIncarnation && aRequest.mEpoch == mPromised;
  if (!isForThis || !aRequest.mSchedule.Extends(mSchedule)) {
    return false;
  }
  mSchedule = aRequest.mSchedule;
  return true;
}

bool
RankLease::IsOutdated(const Incarnations& aIncarnations) const
{
  for (size_t i = 0; i < mKnown.size(); ++i) {
    if (aIncarnations[i] < mKnown[i]) {
      return true;
    }
  }
  return false;
}

}
