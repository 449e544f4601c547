#include "expertmap/internal/leadership.h"

#include "expertmap/internal/messages.h"
#include "framework/global/identifiers.h"
#include "framework/log/log.h"
#include "transport/channel.h"
#include "transport/unary.h"

#include <QCoreApplication>
#include <algorithm>

namespace beryllever::expertmap {

namespace {

constexpr char kLogTag[] = "expertmap";
constexpr std::chrono::milliseconds kCallTime{ 1000 };
constexpr std::chrono::milliseconds kGrantInterval{ 300 };
/** Steps that are granted ahead of the slowest rank. */
constexpr steplease::Step kLeaseSteps = 100;
constexpr steplease::MapVersion kFirstMap = 1;

std::chrono::system_clock::time_point
CallDeadline()
{
  return std::chrono::system_clock::now() + kCallTime;
}

}

Leadership::Leadership(const global::IClock& aClock,
                       GroupView aView,
                       std::string aVm,
                       uint64_t aIncarnation)
  : mClock(aClock)
  , mView(std::move(aView))
  , mVm(std::move(aVm))
  , mIncarnation(aIncarnation)
{
  for (const std::string& address : mView.mAddresses) {
    mRanks.push_back(
      { .mStub = v1::StepLease::NewStub(transport::MakeChannel(address)) });
  }
}

Leadership::~Leadership() = default;

void
Leadership::Tick()
{
  if (!mLead) {
    Learn();
  } else if (!mLead->IsLeading()) {
    AskPromises();
  } else {
    Grant();
  }
}

std::string
Leadership::StateText() const
{
  if (!mLead) {
    return "learning";
  }
  return mLead->IsLeading() ? "leading" : "asking for promises";
}

void
Leadership::Learn()
{
  for (size_t i = 0; i < mRanks.size(); ++i) {
    if (mRanks[i].mIncarnation == 0) {
      v1::PromiseRequest request;
      request.set_group(mView.mGroup);
      request.set_rank(static_cast<int>(i));
      SendPromise(request);
    }
  }
}

void
Leadership::AskPromises()
{
  for (const steplease::PromiseRequest& request : mLead->PromiseRequests()) {
    SendPromise(ToMessage(request, mView.mGroup));
  }
}

void
Leadership::Grant()
{
  if (mClock.Now() < mGrantDeadline) {
    return;
  }
  mGrantDeadline = mClock.Now() + kGrantInterval;
  const steplease::Step slowest = SlowestStep();
  mLead->TrimBefore(slowest);
  mLead->Extend(NextMap(), slowest + kLeaseSteps);
  for (const steplease::GrantRequest& request : mLead->GrantRequests()) {
    v1::GrantRequest message = ToMessage(request, mView.mGroup);
    message.set_prepare_map(mView.mWantedMap);
    SendGrant(message);
  }
}

void
Leadership::SendPromise(const v1::PromiseRequest& aRequest)
{
  const int rank = aRequest.rank();
  Rank& target = mRanks[static_cast<size_t>(rank)];
  if (std::exchange(target.mIsBusy, true)) {
    return;
  }
  const std::weak_ptr<bool> alive = mAlive;
  transport::CallUnary<v1::PromiseRequest, v1::PromiseReply>(
    QCoreApplication::instance(),
    aRequest,
    CallDeadline(),
    [stub = target.mStub](
      auto* aContext, const auto* aMessage, auto* aReply, auto aOnDone) {
      stub->async()->Promise(aContext, aMessage, aReply, aOnDone);
    },
    [this,
     alive,
     rank,
     stub = target.mStub,
     epoch = FromMessage(aRequest.epoch())](const grpc::Status& aStatus,
                                            const v1::PromiseReply& aReply) {
      if (alive.expired()) {
        return;
      }
      mRanks[static_cast<size_t>(rank)].mIsBusy = false;
      if (aStatus.ok()) {
        TakePromiseReply(rank, epoch, aReply);
      }
    });
}

void
Leadership::SendGrant(const v1::GrantRequest& aRequest)
{
  const int rank = aRequest.rank();
  Rank& target = mRanks[static_cast<size_t>(rank)];
  if (std::exchange(target.mIsBusy, true)) {
    return;
  }
  const std::weak_ptr<bool> alive = mAlive;
  transport::CallUnary<v1::GrantRequest, v1::GrantReply>(
    QCoreApplication::instance(),
    aRequest,
    CallDeadline(),
    [stub = target.mStub](
      auto* aContext, const auto* aMessage, auto* aReply, auto aOnDone) {
      stub->async()->Grant(aContext, aMessage, aReply, aOnDone);
    },
    [this, alive, rank, stub = target.mStub](const grpc::Status& aStatus,
                                             const v1::GrantReply& aReply) {
      if (alive.expired()) {
        return;
      }
      mRanks[static_cast<size_t>(rank)].mIsBusy = false;
      if (aStatus.ok()) {
        TakeGrantReply(rank, aReply);
      }
    });
}

void
Leadership::TakePromiseReply(int aRank,
                             const steplease::Epoch& aEpoch,
                             const v1::PromiseReply& aReply)
{
  if (aReply.incarnation() == 0) {
    return;
  }
  Rank& rank = mRanks[static_cast<size_t>(aRank)];
  rank.mStep = std::max(rank.mStep, aReply.current_step());
  mHighestCounter = std::max(mHighestCounter, aReply.promised().counter());
  if (!mLead) {
    rank.mIncarnation = aReply.incarnation();
    Begin();
    return;
  }
  mLead->HandlePromiseReply(FromMessage(aReply, aEpoch, aRank));
  const bool isRefused = !aReply.is_promised() && aEpoch == mLead->OwnEpoch();
  if (isRefused) {
    LOGI("A rank refuses the lead. group=" << mView.mGroup
                                           << " rank=" << aRank);
    mIsOver = true;
  }
  if (mLead->IsLeading()) {
    LOGI("Leading the group. group="
         << mView.mGroup << " epoch=" << mLead->OwnEpoch().mCounter
         << " horizon=" << mLead->Granted().Horizon());
  }
}

void
Leadership::TakeGrantReply(int aRank, const v1::GrantReply& aReply)
{
  Rank& rank = mRanks[static_cast<size_t>(aRank)];
  rank.mStep = std::max(rank.mStep, aReply.current_step());
  rank.mPrepared = aReply.prepared_map();
  const bool isOther = aReply.incarnation() != rank.mIncarnation ||
                       FromMessage(aReply.promised()) > mLead->OwnEpoch();
  if (isOther && !mIsOver) {
    LOGI("The lead ends: a rank has another incarnation or lead. group="
         << mView.mGroup << " rank=" << aRank);
    mIsOver = true;
  }
}

void
Leadership::Begin()
{
  steplease::Incarnations incarnations;
  for (const Rank& rank : mRanks) {
    if (rank.mIncarnation == 0) {
      return;
    }
    incarnations.push_back(rank.mIncarnation);
  }
  // Counters grow even if all agents have forgotten theirs.
  mLead.emplace(
    steplease::Epoch{ std::max(mHighestCounter + 1, global::NewIncarnation()),
                      mVm,
                      mIncarnation },
    incarnations);
}

steplease::Step
Leadership::SlowestStep() const
{
  return std::min_element(mRanks.begin(),
                          mRanks.end(),
                          [](const Rank& aLeft, const Rank& aRight) {
                            return aLeft.mStep < aRight.mStep;
                          })
    ->mStep;
}

steplease::MapVersion
Leadership::NextMap() const
{
  const auto& segments = mLead->Granted().Segments();
  const steplease::MapVersion current =
    segments.empty() ? kFirstMap : segments.back().mMap;
  // A map that a rank has not loaded would stall the whole group.
  const bool isPrepared =
    mView.mWantedMap > 0 &&
    std::all_of(mRanks.begin(), mRanks.end(), [&](const Rank& aRank) {
      return aRank.mPrepared == mView.mWantedMap;
    });
  return isPrepared ? mView.mWantedMap : current;
}

}
