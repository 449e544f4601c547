#include "rankagent/internal/groupleader.h"

#include "framework/global/identifiers.h"
#include "framework/log/log.h"
#include "rebalancing/layerplanner.h"

#include <algorithm>

namespace beryllever::rankagent {

namespace {

using std::chrono::duration_cast;

constexpr char kLogTag[] = "group";
/** Shortest time between two readings of a group. */
constexpr milliseconds kRoundInterval{ 150 };
/** Time between two readings for each rank of the group: a reading takes the
 * lead about 0.1 ms of a core, of which it has a seventh. */
constexpr milliseconds kRoundTimePerRank{ 5 };
/** The same while ranks prepare a map; these readings carry no counts. */
constexpr milliseconds kPrepareRoundInterval{ 50 };
constexpr milliseconds kPrepareTimePerRank{ 3 };
/** Ranks whose counts are read: their choices stand for all, and the counts of
 * 256 ranks would not fit the lead's link. */
constexpr size_t kMaxCountedRanks = 16;
/** Time after which no order of an earlier life of this process is carried out
 * any more: the platform's orders come up to 12 s late. */
constexpr milliseconds kLateOrders{ 13000 };
/** Longest time that the ranks may take to prepare a map. */
constexpr milliseconds kPrepareTime{ 3000 };
/** Time after which a rank that has not prepared a map is told so again; longer
 * than the copy of all experts that one change may bring. */
constexpr milliseconds kPrepareAgain{ 600 };
/** Time for which another lead's hold is left alone, and without a new pass
 * after which the second lead looks whether the first one has left a hold; a
 * pass takes about 0.1 s, and a change less. */
constexpr milliseconds kForeignHold{ 350 };
/** Passes between the one that runs and the one with the new map: the switch
 * takes three exchanges of messages, each shorter than a pass. */
constexpr uint64_t kPassesAhead = 2;
/** Time in which the agents hear which of them may lead. */
constexpr milliseconds kSettle{ 600 };
/** Passes beyond the one that runs that a lead may name. */
constexpr uint64_t kMaxStepsAhead = 16;
/** Share of the largest loads that a new map must save. */
constexpr double kMinGain = 0.12;
/** Share of a layer's largest load that each copied expert must save: a copy
 * takes memory bandwidth, and demand moves on within seconds. */
constexpr double kMinGainPerCopy = 0.03;
/** Pause after a change that came to nothing. */
constexpr milliseconds kPauseAfterFailure{ 300 };

}

GroupLeader::GroupLeader(const global::IClock& aClock,
                         IGroupPort& aPort,
                         metrics::Metrics& aMetrics)
  : mClock(aClock)
  , mPort(aPort)
  , mMetrics(aMetrics)
  , mLeadsFrom(aClock.Now() + kLateOrders)
  , mLife(global::RandomIdentifier())
{
  QObject::connect(&mTimer, &QTimer::timeout, &mTimer, [this] { Tick(); });
}

void
GroupLeader::Start()
{
  mTimer.start(kRoundInterval);
}

void
GroupLeader::Stop()
{
  mTimer.stop();
}

bool
GroupLeader::IsLead() const
{
  if (!mOwn || mOwn->mGroup.empty() || mOwn->mSize < 2) {
    return false;
  }
  if (mMayLead) {
    return (LeadsBefore() == 0 || IsDeputyNeeded()) &&
           mClock.Now() - mMayLeadSince >= kSettle;
  }
  // Where no other can lead, this one at least clears what was left behind.
  return mPort.LiveLeads().empty() && IsLowestLive();
}

size_t
GroupLeader::LeadsBefore() const
{
  const std::vector<uint32_t> leads = mPort.LiveLeads();
  return static_cast<size_t>(
    std::count_if(leads.begin(), leads.end(), [this](uint32_t aRank) {
      return aRank < mOwn->mRank;
    }));
}

bool
GroupLeader::IsDeputyNeeded() const
{
  return LeadsBefore() == 1 && HasStoodStill(kForeignHold);
}

bool
GroupLeader::HasStoodStill(milliseconds aTime) const
{
  return mOwn && mOwn->mIsOpen && mOwn->mRequests > 0 &&
         mClock.Now() - mStepSince >= aTime;
}

bool
GroupLeader::IsLowestLive() const
{
  const std::vector<uint32_t> live = mPort.LiveRanks();
  return std::all_of(live.begin(), live.end(), [this](uint32_t aRank) {
    return aRank >= mOwn->mRank;
  });
}

void
GroupLeader::SetEngine(const published::EngineProfile& aEngine)
{
  const bool isSame = mEngine &&
                      mEngine->mExpertLayers == aEngine.mExpertLayers &&
                      mEngine->mExperts == aEngine.mExperts;
  mEngine = aEngine;
  if (!isSame) {
    mDemand.emplace(static_cast<size_t>(aEngine.mExpertLayers),
                    static_cast<size_t>(aEngine.mExperts));
  }
}

void
GroupLeader::SetRank(const RankState& aState)
{
  // Orders of an earlier life of this process may still be carried out, but
  // not in an epoch that began after it, nor for passes that have begun.
  const bool isNewEpoch = mOwn && mOwn->mEpoch != aState.mEpoch;
  if (!mOwn) {
    mLeadsFromStep = aState.mStep + kMaxStepsAhead + 1;
  }
  const bool mayLead = isNewEpoch || !aState.mIsOpen ||
                       aState.mStep >= mLeadsFromStep ||
                       mClock.Now() >= mLeadsFrom;
  if (mayLead && !mMayLead) {
    mMayLead = true;
    mMayLeadSince = mClock.Now();
  }
  if (!mOwn || mOwn->mStep != aState.mStep) {
    mStepSince = mClock.Now();
  }
  mOwn = aState;
  UpdateInterval();
}

void
GroupLeader::Tick()
{
  if (mIsReading || mChange || !IsLead() || !mEngine ||
      mEngine->mExpertLayers == 0) {
    return;
  }
  BeginRound();
}

void
GroupLeader::BeginRound()
{
  ++mRound;
  mIsReading = true;
  mAwaited = mOwn->mSize;
  mSamples.assign(mOwn->mSize, std::nullopt);
  const uint64_t round = mRound;
  const std::vector<uint32_t> near = mPort.NearRanks();
  const auto end = near.begin() + static_cast<std::ptrdiff_t>(
                                    std::min(near.size(), kMaxCountedRanks));
  for (uint32_t rank = 0; rank < mOwn->mSize; ++rank) {
    const bool isCounted =
      mPreparing == 0 && std::find(near.begin(), end, rank) != end;
    mPort.Sample(rank,
                 isCounted ? SampleDepth::Counts : SampleDepth::Placement,
                 [this, round, rank](auto aSample) {
                   TakeSample(round, rank, std::move(aSample));
                 });
  }
}

void
GroupLeader::TakeSample(uint64_t aRound,
                        size_t aRank,
                        std::optional<RankSample> aSample)
{
  if (aRound != mRound || !mIsReading) {
    return;
  }
  mSamples[aRank] = std::move(aSample);
  if (--mAwaited == 0) {
    mIsReading = false;
    FinishRound();
  }
}

void
GroupLeader::FinishRound()
{
  if (mPreparing != 0 && HasGroupChanged()) {
    GiveUpMap("the group has changed");
  }
  NoteUnread();
  if (!IsConsistent()) {
    if (mPreparing != 0 && mClock.Now() >= mPrepareDeadline) {
      GiveUpMap("ranks cannot be read");
    }
    return;
  }
  for (const auto& sample : mSamples) {
    const RankState& state = sample->mState;
    mHighestVersion = std::max({ mHighestVersion,
                                 state.mMapVersion,
                                 state.mPreparedVersion,
                                 state.mArmedVersion });
  }
  mDemand->Take(mSamples);
  if (HandleHold()) {
    return;
  }
  const bool isArmed =
    std::any_of(mSamples.begin(), mSamples.end(), [](const auto& aSample) {
      return aSample->mState.mArmedVersion != 0;
    });
  const uint64_t map = mSamples[0]->mState.mMapVersion;
  const bool isOneMap =
    std::all_of(mSamples.begin(), mSamples.end(), [&](const auto& aSample) {
      return aSample->mState.mMapVersion == map;
    });
  // Readings on both sides of a switch show two maps; the next ones will not.
  if (isArmed || !isOneMap) {
    return;
  }
  if (!mMayLead || LeadsBefore() > 0) {
    mPreparing = 0;
    return;
  }
  if (mPreparing != 0) {
    ContinuePreparing();
    return;
  }
  Plan();
}

void
GroupLeader::NoteUnread()
{
  size_t unread = 0;
  size_t first = 0;
  for (size_t rank = 0; rank < mSamples.size(); ++rank) {
    if (!mSamples[rank]) {
      first = unread == 0 ? rank : first;
      ++unread;
    }
  }
  if ((unread == 0) == (mUnread == 0)) {
    return;
  }
  mUnread = unread;
  if (unread > 0) {
    LOGW("Ranks cannot be read. group=" << mOwn->mGroup << " unread=" << unread
                                        << " of=" << mSamples.size()
                                        << " first=" << first);
  } else {
    LOGI("All ranks can be read. group=" << mOwn->mGroup);
  }
}

bool
GroupLeader::IsConsistent() const
{
  const auto& first = mSamples[0];
  return std::all_of(
    mSamples.begin(), mSamples.end(), [&](const auto& aSample) {
      return aSample && first && aSample->mState.mIsOpen &&
             aSample->mState.mGroup == first->mState.mGroup &&
             aSample->mState.mEpoch == first->mState.mEpoch;
    });
}

bool
GroupLeader::HasGroupChanged() const
{
  return std::any_of(
    mSamples.begin(), mSamples.end(), [this](const auto& aSample) {
      return aSample && (!aSample->mState.mIsOpen ||
                         aSample->mState.mGroup != mOwn->mGroup ||
                         aSample->mState.mEpoch != mPreparingEpoch);
    });
}

void
GroupLeader::GiveUpMap(const std::string& aReason)
{
  LOGW("The map is given up. group=" << mOwn->mGroup << " version="
                                     << mPreparing << " reason=" << aReason);
  mPreparing = 0;
}

milliseconds
GroupLeader::RoundInterval() const
{
  const int size = mOwn ? static_cast<int>(mOwn->mSize) : 0;
  if (mPreparing != 0) {
    return std::max(kPrepareRoundInterval, kPrepareTimePerRank * size);
  }
  return std::max(kRoundInterval, kRoundTimePerRank * size);
}

void
GroupLeader::UpdateInterval()
{
  if (mTimer.intervalAsDuration() != RoundInterval()) {
    mTimer.start(RoundInterval());
  }
}

uint64_t
GroupLeader::HeldStep() const
{
  // A rank holds one pass at a time, so an own hold is resolved first.
  uint64_t held = mSamples[mOwn->mRank]->mState.mHeldStep;
  const bool hasOwn = held != 0;
  for (const auto& sample : mSamples) {
    const uint64_t other = sample->mState.mHeldStep;
    if (!hasOwn && other != 0 && (held == 0 || other < held)) {
      held = other;
    }
  }
  return held;
}

bool
GroupLeader::HandleHold()
{
  const uint64_t held = HeldStep();
  if (held == 0) {
    mHeldSince = {};
    return false;
  }
  const auto now = mClock.Now();
  if (mHeldSince == global::TimePoint{} || held != mHeldSeen) {
    mHeldSince = now;
    mHeldSeen = held;
  }
  const uint64_t own = mSamples[mOwn->mRank]->mState.mHeldStep;
  // An order of an earlier life of this process may still let its hold go, so
  // that hold protects nothing; another lead clears it.
  const bool isEarlierLife = own != 0 && own != mChangeStep && !mMayLead;
  // A hold of the next pass has stood for as long as that pass has not begun.
  const auto since =
    held == mOwn->mStep + 1 ? std::min(mHeldSince, mStepSince) : mHeldSince;
  if (isEarlierLife || now - since < kForeignHold) {
    return true;
  }
  LOGW("A hold that a lead has left is cleared. group="
       << mOwn->mGroup << " step=" << held << " own=" << (own != 0));
  mHeldSince = {};
  BeginChange(
    { .mStep = held, .mIsReleaseOnly = own != 0 && own == mReleasedStep });
  return true;
}

ExpertMap
GroupLeader::CurrentMap() const
{
  const size_t layers = static_cast<size_t>(mEngine->mExpertLayers);
  ExpertMap map(layers);
  for (size_t layer = 0; layer < layers; ++layer) {
    for (const auto& sample : mSamples) {
      if (sample->mExperts.size() != layers) {
        return {};
      }
      map[layer].push_back(sample->mExperts[layer]);
    }
  }
  return map;
}

ExpertMap
GroupLeader::PlanMap(const ExpertMap& aCurrent,
                     double& aBefore,
                     double& aAfter) const
{
  const rebalancing::LayerPlanner planner(
    { static_cast<size_t>(mEngine->mPlacesPerRank),
      static_cast<size_t>(mEngine->mSparePerRank),
      kMinGainPerCopy });
  rebalancing::Slowdowns paces;
  for (const auto& sample : mSamples) {
    paces.push_back(std::max(1.0, sample->mState.mPace));
  }
  ExpertMap planned;
  for (size_t layer = 0; layer < aCurrent.size(); ++layer) {
    rebalancing::ExpertsByRank lists;
    for (const auto& experts : aCurrent[layer]) {
      lists.emplace_back(experts.begin(), experts.end());
    }
    const rebalancing::Loads& loads = mDemand->Demand(layer);
    const rebalancing::ExpertsByRank better =
      planner.Improve(lists, loads, paces);
    aBefore += rebalancing::MaxRankLoad(lists, loads, paces);
    aAfter += rebalancing::MaxRankLoad(better, loads, paces);
    planned.emplace_back();
    for (const auto& experts : better) {
      planned.back().emplace_back(experts.begin(), experts.end());
    }
  }
  return planned;
}

uint64_t
GroupLeader::NextVersion()
{
  mHighestVersion = VersionAbove(mHighestVersion, TagFor(mOwn->mRank, mLife));
  return mHighestVersion;
}

void
GroupLeader::Plan()
{
  const ExpertMap current = CurrentMap();
  // The first window of a shift is a mixture of old and new demand.
  if (mClock.Now() < mNextPlan || mDemand->HasShifted() ||
      !mDemand->IsKnown() || current.empty()) {
    return;
  }
  double before = 0;
  double after = 0;
  const ExpertMap planned = PlanMap(current, before, after);
  if (before <= 0 || after > before * (1 - kMinGain)) {
    return;
  }
  mPreparing = NextVersion();
  mPreparingEpoch = mSamples[0]->mState.mEpoch;
  mPreparingMap = planned;
  mPrepareDeadline = mClock.Now() + kPrepareTime;
  mPrepareAgain = mClock.Now() + kPrepareAgain;
  mUnanswered.clear();
  LOGI("A better expert map is prepared. group="
       << mOwn->mGroup << " version=" << mPreparing
       << " epoch=" << mPreparingEpoch << " largestLoadBefore=" << before
       << " largestLoadAfter=" << after);
  for (size_t rank = 0; rank < mSamples.size(); ++rank) {
    SendPrepare(rank);
  }
  UpdateInterval();
}

void
GroupLeader::SendPrepare(size_t aRank)
{
  const RankState& state = mSamples[aRank]->mState;
  RankOrder order{ .mOperation = RankOperation::Prepare,
                   .mEpoch = state.mEpoch,
                   .mVersion = mPreparing,
                   .mMap = mPreparingMap };
  const uint64_t version = mPreparing;
  mPort.Order(
    static_cast<uint32_t>(aRank),
    order,
    [this, aRank, version](OrderOutcome aOutcome) {
      if (aOutcome == OrderOutcome::Refused) {
        LOGW("Rank does not prepare the map. rank=" << aRank
                                                    << " version=" << version);
      }
      if (aOutcome == OrderOutcome::Unknown && version == mPreparing) {
        mUnanswered.insert(aRank);
      }
    });
}

void
GroupLeader::ContinuePreparing()
{
  const auto now = mClock.Now();
  bool isReady = true;
  for (size_t rank = 0; rank < mSamples.size(); ++rank) {
    const RankState& state = mSamples[rank]->mState;
    isReady = isReady && state.mPreparedVersion == mPreparing;
  }
  if (isReady) {
    const uint64_t step = NextStep();
    if (step <= mSamples[0]->mState.mStep + kMaxStepsAhead) {
      BeginChange({ .mVersion = mPreparing, .mStep = step });
    }
    return;
  }
  const bool isReplaced = mHighestVersion > mPreparing;
  if (isReplaced || now >= mPrepareDeadline) {
    GiveUpMap(isReplaced ? "another lead has prepared one" : "not in time");
    return;
  }
  const bool isAgain = now >= mPrepareAgain;
  for (size_t rank = 0; rank < mSamples.size(); ++rank) {
    const RankState& state = mSamples[rank]->mState;
    // A second order for a version that a rank has is refused, so it may follow
    // an unanswered one at once.
    const bool isUnanswered = mUnanswered.erase(rank) > 0;
    if (state.mPreparedVersion != mPreparing && (isAgain || isUnanswered)) {
      SendPrepare(rank);
    }
  }
  if (isAgain) {
    mPrepareAgain = now + kPrepareAgain;
  }
}

void
GroupLeader::BeginChange(ChangePlan aPlan)
{
  std::vector<RankState> views;
  for (const auto& sample : mSamples) {
    views.push_back(sample->mState);
  }
  aPlan.mLead = mOwn->mRank;
  aPlan.mTag = TagFor(mOwn->mRank, mLife);
  aPlan.mSpareVersion = NextVersion();
  mLastStep = std::max(mLastStep, aPlan.mStep);
  mChangeStep = aPlan.mStep;
  ++mChangeId;
  mChangeBegan = mClock.Now();
  mChange.emplace(aPlan, std::move(views));
  Pump();
}

uint64_t
GroupLeader::NextStep() const
{
  uint64_t step = mLastStep;
  for (const auto& sample : mSamples) {
    step = std::max(step, sample->mState.mStep + kPassesAhead - 1);
  }
  return StepAbove(step, mOwn->mRank);
}

void
GroupLeader::Pump()
{
  for (const RankCommand& command : mChange->TakeCommands()) {
    SendCommand(command);
  }
  if (mChange->IsOver()) {
    EndChange();
  }
}

void
GroupLeader::SendCommand(const RankCommand& aCommand)
{
  const size_t rank = aCommand.mRank;
  const uint64_t id = mChangeId;
  if (aCommand.mIsRead) {
    mPort.Sample(static_cast<uint32_t>(rank),
                 SampleDepth::State,
                 [this, id, rank](const std::optional<RankSample>& aSample) {
                   if (!mChange || id != mChangeId) {
                     return;
                   }
                   mChange->HandleView(rank,
                                       aSample ? std::optional(aSample->mState)
                                               : std::nullopt);
                   Pump();
                 });
    return;
  }
  RankOrder order = aCommand.mOrder;
  if (order.mOperation == RankOperation::Prepare) {
    order.mMap = CurrentMap();
  }
  mPort.Order(static_cast<uint32_t>(rank),
              order,
              [this, id, rank](OrderOutcome aOutcome) {
                if (!mChange || id != mChangeId) {
                  return;
                }
                mChange->HandleOutcome(rank, aOutcome);
                Pump();
              });
}

void
GroupLeader::EndChange()
{
  const auto took =
    duration_cast<milliseconds>(mClock.Now() - mChangeBegan).count();
  const bool isDone = mChange->HasSucceeded();
  if (mChange->HasBegunRelease()) {
    mReleasedStep = mChangeStep;
  }
  LOGI("Change of the expert map "
       << (isDone ? "is armed" : "came to nothing") << ". group="
       << mOwn->mGroup << " version=" << mPreparing << " step=" << mChangeStep
       << " end=" << mChange->PhaseName() << " milliseconds=" << took);
  mMetrics.Count("beryllever_map_changes",
                 { { "outcome", isDone ? "armed" : "failed" } });
  mMetrics.Sample("beryllever_map_change_milliseconds",
                  static_cast<double>(took));
  if (!isDone) {
    mNextPlan = mClock.Now() + kPauseAfterFailure;
  }
  mPreparing = 0;
  mChange.reset();
}

}
