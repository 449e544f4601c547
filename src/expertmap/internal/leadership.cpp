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
constexpr std::chrono::milliseconds kCallTimeout{ 1000 };
constexpr std::chrono::milliseconds kGrantInterval{ 300 };
/** Number of steps granted ahead of the slowest rank. */
constexpr steplease::Step kGrantAheadSteps = 100;
constexpr steplease::MapVersion kInitialMap = 1;

std::chrono::system_clock::time_point
CallDeadline()
{
  return std::chrono::system_clock::now() + kCallTimeout;
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
  if (!mLeader) {
    QueryIncarnations();
  } else if (!mLeader->IsLeading()) {
    RequestPromises();
  } else {
    SendGrants();
  }
}

std::string
Leadership::StateName() const
{
  if (!mLeader) {
    return "learning";
  }
  return mLeader->IsLeading() ? "leading" : "asking for promises";
}

void
Leadership::QueryIncarnations()
{
  for (size_t i = 0; i < mRanks.size(); ++i) {
    if (mRanks[i].mIncarnation == 0) {
      v1::PromiseRequest request;
      request.set_group(mView.mGroup);
      request.set_rank(static_cast<int>(i));
      SendPromiseRequest(request);
    }
  }
}

void
Leadership::RequestPromises()
{
  for (const steplease::PromiseRequest& request : mLeader->PromiseRequests()) {
    SendPromiseRequest(ToMessage(request, mView.mGroup));
  }
}

void
Leadership::SendGrants()
{
  if (mClock.Now() < mGrantDeadline) {
    return;
  }
  mGrantDeadline = mClock.Now() + kGrantInterval;
  const steplease::Step slowest = SlowestStep();
  mLeader->TrimBefore(slowest);
  mLeader->Extend(NextMap(), slowest + kGrantAheadSteps);
  for (const steplease::GrantRequest& request : mLeader->GrantRequests()) {
    v1::GrantRequest message = ToMessage(request, mView.mGroup);
    message.set_prepare_map(mView.mConfiguredMap);
    SendGrantRequest(message);
  }
}

void
Leadership::SendPromiseRequest(const v1::PromiseRequest& aRequest)
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
        HandlePromiseReply(rank, epoch, aReply);
      }
    });
}

void
Leadership::SendGrantRequest(const v1::GrantRequest& aRequest)
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
        HandleGrantReply(rank, aReply);
      }
    });
}

void
Leadership::HandlePromiseReply(int aRank,
                               const steplease::Epoch& aEpoch,
                               const v1::PromiseReply& aReply)
{
  if (aReply.incarnation() == 0) {
    return;
  }
  Rank& rank = mRanks[static_cast<size_t>(aRank)];
  rank.mStep = std::max(rank.mStep, aReply.current_step());
  mHighestCounter = std::max(mHighestCounter, aReply.promised().counter());
  if (!mLeader) {
    rank.mIncarnation = aReply.incarnation();
    CreateLeader();
    return;
  }
  mLeader->HandlePromiseReply(FromMessage(aReply, aEpoch, aRank));
  const bool isRefused = !aReply.is_promised() && aEpoch == mLeader->OwnEpoch();
  if (isRefused) {
    LOGI("A rank refuses the lead. group=" << mView.mGroup
                                           << " rank=" << aRank);
    mIsOver = true;
  }
  if (mLeader->IsLeading()) {
    LOGI("This agent leads the group. group="
         << mView.mGroup << " epoch=" << mLeader->OwnEpoch().mCounter
         << " horizon=" << mLeader->Granted().Horizon());
  }
}

void
Leadership::HandleGrantReply(int aRank, const v1::GrantReply& aReply)
{
  Rank& rank = mRanks[static_cast<size_t>(aRank)];
  rank.mStep = std::max(rank.mStep, aReply.current_step());
  rank.mPreparedMap = aReply.prepared_map();
  const bool isSuperseded =
    aReply.incarnation() != rank.mIncarnation ||
    FromMessage(aReply.promised()) > mLeader->OwnEpoch();
  if (isSuperseded && !mIsOver) {
    LOGI(
      "The lead is lost: a rank has restarted or follows another leader. group="
      << mView.mGroup << " rank=" << aRank);
    mIsOver = true;
  }
}

void
Leadership::CreateLeader()
{
  steplease::Incarnations incarnations;
  for (const Rank& rank : mRanks) {
    if (rank.mIncarnation == 0) {
      return;
    }
    incarnations.push_back(rank.mIncarnation);
  }
  // NewIncarnation() grows with time, so the counter increases even if all
  // agents have restarted and lost theirs.
  mLeader.emplace(
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
  const auto& segments = mLeader->Granted().Segments();
  const steplease::MapVersion current =
    segments.empty() ? kInitialMap : segments.back().mMap;
  // Switching to a map that a rank has not loaded would stall the whole group.
  const bool isPrepared =
    mView.mConfiguredMap > 0 &&
    std::all_of(mRanks.begin(), mRanks.end(), [&](const Rank& aRank) {
      return aRank.mPreparedMap == mView.mConfiguredMap;
    });
  return isPrepared ? mView.mConfiguredMap : current;
}

}
