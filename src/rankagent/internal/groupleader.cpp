#include "rankagent/internal/groupleader.h"

#include "framework/global/identifiers.h"
#include "framework/log/log.h"
#include "rankagent/internal/mapcodec.h"

#include <algorithm>

namespace beryllever::rankagent {

namespace {

using std::chrono::duration_cast;

constexpr char kLogTag[] = "group";
/** Shortest interval between sampling rounds. */
constexpr milliseconds kRoundInterval{ 150 };
/** Interval between sampling rounds per rank of the group. Sampling a rank
 * takes the leader about 0.1 ms of CPU time, and the process of the leader gets
 * a seventh of a core. */
constexpr std::chrono::microseconds kRoundIntervalPerRank{ 2500 };
/** Intervals while ranks prepare a map; these samples carry no counts. */
constexpr milliseconds kPrepareRoundInterval{ 50 };
constexpr milliseconds kPrepareRoundIntervalPerRank{ 2 };
/** Time after which no order of an earlier run of this process can be executed
 * any more: the platform delays orders by up to 12 s. */
constexpr milliseconds kMaxOrderDelay{ 13000 };
/** Time after the expected end of the copies at which a map is given up. */
constexpr milliseconds kPrepareTimeout{ 3000 };
/** Interval at which the order to prepare is repeated, from the expected end of
 * the copies on. */
constexpr milliseconds kPrepareRetryInterval{ 600 };
/** Age at which a hold counts as abandoned, and time without a new pass after
 * which the second leader checks for an abandoned hold. A pass takes about
 * 0.1 s, and a change takes less. */
constexpr milliseconds kAbandonedHoldTimeout{ 350 };
/** Age at which a hold counts as abandoned whose owner could not be read and
 * can again, or which another leader clears. An owner that wakes from a freeze
 * first works off what has arrived meanwhile. */
constexpr milliseconds kResumedHoldTimeout{ 500 };
/** Interval between the times at which successive leaders, by rank, may clear
 * an abandoned hold. In this time a leader places its own hold and the others
 * read it. */
constexpr milliseconds kClearInterval{ 350 };
/** Smallest number of passes from the current one to the first with the new
 * map. The switch takes three message round trips, each shorter than a pass. */
constexpr uint64_t kMinPassesAhead = 2;
/** Time in which gossip tells all agents which of them are eligible to lead. */
constexpr milliseconds kEligibilityGossipTime{ 600 };
/** Largest number of passes after the current one that a leader may use. */
constexpr uint64_t kMaxPassesAhead = 16;
constexpr milliseconds kDelayAfterFailedChange{ 300 };

}

GroupLeader::GroupLeader(const global::IClock& aClock,
                         IGroupPort& aPort,
                         metrics::Metrics& aMetrics)
  : mClock(aClock)
  , mPort(aPort)
  , mSampler(aPort)
  , mMetrics(aMetrics)
  , mRunner(aClock,
            aPort,
            aMetrics,
            [this] { return mSampler.CurrentMap(ExpertLayers()); })
  , mEligibleTime(aClock.Now() + kMaxOrderDelay)
  , mIncarnation(global::RandomIdentifier())
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
GroupLeader::IsLeader() const
{
  if (!mLocalRank || mLocalRank->mGroup.empty() || mLocalRank->mSize < 2) {
    return false;
  }
  if (mMayLead) {
    return (CountPrecedingLeaders() == 0 || IsStandbyNeeded()) &&
           mClock.Now() - mEligibleSince >= kEligibilityGossipTime;
  }
  // If no other rank is eligible, this one at least clears abandoned changes.
  return mPort.EligibleRanks().empty() && IsLowestLiveRank();
}

size_t
GroupLeader::CountPrecedingLeaders() const
{
  const std::vector<uint32_t> eligible = mPort.EligibleRanks();
  return static_cast<size_t>(
    std::count_if(eligible.begin(), eligible.end(), [this](uint32_t aRank) {
      return aRank < mLocalRank->mRank;
    }));
}

bool
GroupLeader::IsStandbyNeeded() const
{
  return CountPrecedingLeaders() == 1 && IsStalledFor(kAbandonedHoldTimeout);
}

bool
GroupLeader::IsStalledFor(milliseconds aTime) const
{
  return mLocalRank && mLocalRank->mIsOpen && mLocalRank->mRequests > 0 &&
         mClock.Now() - mStepSince >= aTime;
}

bool
GroupLeader::IsLowestLiveRank() const
{
  const std::vector<uint32_t> live = mPort.LiveRanks();
  return std::all_of(live.begin(), live.end(), [this](uint32_t aRank) {
    return aRank >= mLocalRank->mRank;
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
  // Orders of an earlier run of this process may still be executed, but not in
  // an epoch that began after it, nor for passes that have started.
  const bool isNewEpoch = mLocalRank && mLocalRank->mEpoch != aState.mEpoch;
  if (!mLocalRank) {
    mEligibleStep = aState.mStep + kMaxPassesAhead + 1;
  }
  const bool mayLead = isNewEpoch || !aState.mIsOpen ||
                       aState.mStep >= mEligibleStep ||
                       mClock.Now() >= mEligibleTime;
  if (isNewEpoch) {
    mReleasedSteps.clear();
  }
  mReleasedSteps.erase(mReleasedSteps.begin(),
                       mReleasedSteps.upper_bound(aState.mStep));
  if (mayLead && !mMayLead) {
    mMayLead = true;
    mEligibleSince = mClock.Now();
  }
  if (!mLocalRank || mLocalRank->mStep != aState.mStep) {
    mStepSince = mClock.Now();
  }
  mLocalRank = aState;
  UpdateInterval();
}

void
GroupLeader::Tick()
{
  if (mIsStopping || mSampler.IsReading() || mRunner.IsRunning() ||
      !IsLeader() || !mEngine || mEngine->mExpertLayers == 0) {
    return;
  }
  // Counts are not read more often while ranks prepare a map.
  const auto now = mClock.Now();
  const bool wantsCounts = mPreparingVersion == 0 || now >= mNextCountTime;
  if (wantsCounts) {
    mNextCountTime = now + CountInterval();
  }
  mSampler.BeginRound(
    mLocalRank->mSize, wantsCounts, [this] { FinishRound(); });
}

void
GroupLeader::FinishRound()
{
  if (mIsStopping) {
    return;
  }
  UpdateReadableRanks();
  if (mPreparingVersion != 0 &&
      mSampler.HasGroupChanged(mLocalRank->mGroup, mPreparingEpoch)) {
    AbandonMap("the group has changed");
  }
  if (!mSampler.IsConsistent() || !IsRoundOfOwnGroup()) {
    if (mPreparingVersion != 0 && mClock.Now() >= mPrepareDeadline) {
      AbandonMap("ranks cannot be read");
    }
    return;
  }
  mHighestVersion = std::max(mHighestVersion, mSampler.HighestVersion());
  mDemand->AddSamples(mSampler.All(), mClock.Now());
  if (HandleHold()) {
    return;
  }
  // A plan has to start from the map that all ranks use.
  if (mSampler.IsSwitching()) {
    return;
  }
  if (!mMayLead || CountPrecedingLeaders() > 0) {
    mPreparingVersion = 0;
    return;
  }
  if (mPreparingVersion != 0) {
    ContinuePreparing();
    return;
  }
  Plan();
}

bool
GroupLeader::IsRoundOfOwnGroup() const
{
  if (mLocalRank->mRank >= mSampler.All().size()) {
    return false;
  }
  const RankState& own = mSampler.State(mLocalRank->mRank);
  return own.mGroup == mLocalRank->mGroup && own.mEpoch == mLocalRank->mEpoch;
}

void
GroupLeader::AbandonMap(const std::string& aReason)
{
  LOGW("The map is given up. group=" << mLocalRank->mGroup
                                     << " version=" << mPreparingVersion
                                     << " reason=" << aReason);
  mPreparingVersion = 0;
}

milliseconds
GroupLeader::RoundInterval() const
{
  if (mPreparingVersion != 0) {
    return std::max(kPrepareRoundInterval,
                    kPrepareRoundIntervalPerRank * GroupSize());
  }
  return CountInterval();
}

milliseconds
GroupLeader::CountInterval() const
{
  return std::max(
    kRoundInterval,
    duration_cast<milliseconds>(kRoundIntervalPerRank * GroupSize()));
}

int
GroupLeader::GroupSize() const
{
  return mLocalRank ? static_cast<int>(mLocalRank->mSize) : 0;
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
  // A rank holds one pass at a time, so a hold of the local rank is resolved
  // first.
  uint64_t held = mSampler.State(mLocalRank->mRank).mHeldStep;
  const bool hasOwn = held != 0;
  for (const auto& sample : mSampler.All()) {
    const uint64_t other = sample->mState.mHeldStep;
    if (!hasOwn && other != 0 && (held == 0 || other < held)) {
      held = other;
    }
  }
  return held;
}

void
GroupLeader::UpdateReadableRanks()
{
  for (uint32_t rank = 0; rank < mSampler.All().size(); ++rank) {
    if (!mSampler.All()[rank]) {
      mUnreadableRanks.insert(rank);
    } else if (mUnreadableRanks.erase(rank) > 0) {
      mReadableSince[rank] = mClock.Now();
    }
  }
}

void
GroupLeader::UpdateHolders(uint64_t aStep)
{
  const auto now = mClock.Now();
  const bool isNew =
    mHeldSince == global::TimePoint{} || aStep != mObservedHeldStep;
  if (isNew) {
    mHeldSince = now;
    mObservedHeldStep = aStep;
    mHolders.clear();
  }
  for (uint32_t rank = 0; rank < mSampler.All().size(); ++rank) {
    if (mSampler.State(rank).mHeldStep != aStep) {
      mHolders.erase(rank);
      continue;
    }
    auto& since = mHolders.try_emplace(rank, isNew ? global::TimePoint{} : now)
                    .first->second;
    const auto it = mReadableSince.find(rank);
    if (it == mReadableSince.end() || it->second <= since ||
        now - it->second >= kResumedHoldTimeout) {
      continue;
    }
    since = it->second;
    LOGI("The owner of a hold can be read again and is given time. group="
         << mLocalRank->mGroup << " step=" << aStep << " rank=" << rank);
  }
}

size_t
GroupLeader::CountPrecedingClearers() const
{
  const std::vector<uint32_t> eligible = mPort.EligibleRanks();
  return static_cast<size_t>(
    std::count_if(eligible.begin(), eligible.end(), [this](uint32_t aRank) {
      return aRank < mLocalRank->mRank && !mHolders.contains(aRank);
    }));
}

global::TimePoint
GroupLeader::AbandonedTime(uint64_t aStep) const
{
  // A hold of the next pass is at least as old as the wait for that pass.
  const auto since = aStep == mLocalRank->mStep + 1
                       ? std::min(mHeldSince, mStepSince)
                       : mHeldSince;
  auto time = since + kAbandonedHoldTimeout;
  // The local leader has placed this hold and its change is over, so it does
  // not wait for its turn.
  if (mHolders.contains(mLocalRank->mRank)) {
    return time;
  }
  for (const auto& [rank, activeSince] : mHolders) {
    if (activeSince != global::TimePoint{}) {
      time = std::max(time, activeSince + kResumedHoldTimeout);
    }
  }
  return time + kClearInterval * static_cast<int>(CountPrecedingClearers());
}

bool
GroupLeader::HandleHold()
{
  const uint64_t held = HeldStep();
  if (held == 0) {
    mHeldSince = {};
    return false;
  }
  UpdateHolders(held);
  const uint64_t own = mSampler.State(mLocalRank->mRank).mHeldStep;
  // A delayed order of an earlier run of this process may still release its
  // hold, so the hold protects nothing; another leader clears it.
  const bool isEarlierRun = own != 0 && own != mChangeStep && !mMayLead;
  if (isEarlierRun || mClock.Now() < AbandonedTime(held)) {
    return true;
  }
  LOGW("A hold that a lead has left is cleared. group="
       << mLocalRank->mGroup << " step=" << held << " own=" << (own != 0));
  mHeldSince = {};
  BeginChange({ .mStep = held,
                .mIsReleaseOnly = own != 0 && mReleasedSteps.contains(own) });
  return true;
}

uint64_t
GroupLeader::NextVersion()
{
  mHighestVersion = VersionAbove(
    mHighestVersion, MakeLeaderTag(mLocalRank->mRank, mIncarnation));
  return mHighestVersion;
}

void
GroupLeader::Plan()
{
  const ExpertMap current = mSampler.CurrentMap(ExpertLayers());
  if (mClock.Now() < mNextPlanTime || mDemand->IsShifting() ||
      !mDemand->HasDemand() || current.empty()) {
    return;
  }
  const auto now = mClock.Now();
  const auto stay = mDemand->ExpectedStay(now);
  MapPlan plan = PlanMap(*mEngine, current, *mDemand, RankSlowdowns(), stay);
  mMetrics.Set("beryllever_map_imbalance", plan.ImbalanceBefore());
  if (!plan.IsWorthwhile()) {
    LogSettled(plan);
    return;
  }
  mIsSettled = false;
  mPreparingVersion = NextVersion();
  mPreparingEpoch = mSampler.State(0).mEpoch;
  mPreparingMap = Sorted(std::move(plan.mMap));
  mPreparingSince = now;
  mPrepareDeadline = now + plan.mCopyTime + kPrepareTimeout;
  mPrepareRetryTime = now + plan.mCopyTime + kPrepareRetryInterval;
  mUnansweredRanks.clear();
  LOGI("Preparing a better expert map. group="
       << mLocalRank->mGroup << " version=" << mPreparingVersion << " epoch="
       << mPreparingEpoch << " imbalanceBefore=" << plan.ImbalanceBefore()
       << " imbalanceAfter=" << plan.ImbalanceAfter()
       << " copies=" << plan.mCopies << " copyMilliseconds="
       << duration_cast<milliseconds>(plan.mCopyTime).count()
       << " expectedStayMilliseconds="
       << duration_cast<milliseconds>(stay).count());
  RankOrder order = PrepareOrder();
  // The map that a group begins with was told to nobody.
  if (const uint64_t version = mSampler.State(0).mMapVersion; version != 0) {
    order.mBase = std::make_shared<const KnownMap>(
      KnownMap{ mPreparingEpoch, version, Sorted(current) });
  }
  mPort.OrderAll(
    order,
    [this, version = mPreparingVersion](uint32_t aRank, OrderOutcome aOutcome) {
      HandlePrepareOutcome(version, aRank, aOutcome);
    });
  UpdateInterval();
}

size_t
GroupLeader::ExpertLayers() const
{
  return static_cast<size_t>(mEngine->mExpertLayers);
}

std::vector<double>
GroupLeader::RankSlowdowns() const
{
  std::vector<double> slowdowns;
  for (const auto& sample : mSampler.All()) {
    slowdowns.push_back(std::max(1.0, sample->mState.mPace));
  }
  return slowdowns;
}

void
GroupLeader::LogSettled(const MapPlan& aPlan)
{
  if (!mIsSettled) {
    LOGI("No better expert map is found. group="
         << mLocalRank->mGroup << " imbalance=" << aPlan.ImbalanceBefore()
         << " imbalanceOfBestPlan=" << aPlan.ImbalanceAfter());
  }
  mIsSettled = true;
}

RankOrder
GroupLeader::PrepareOrder() const
{
  return { .mOperation = RankOperation::Prepare,
           .mEpoch = mPreparingEpoch,
           .mVersion = mPreparingVersion,
           .mMap = mPreparingMap };
}

void
GroupLeader::SendPrepare(uint32_t aRank)
{
  mPort.Order(
    aRank,
    PrepareOrder(),
    [this, aRank, version = mPreparingVersion](OrderOutcome aOutcome) {
      HandlePrepareOutcome(version, aRank, aOutcome);
    });
}

void
GroupLeader::HandlePrepareOutcome(uint64_t aVersion,
                                  uint32_t aRank,
                                  OrderOutcome aOutcome)
{
  if (aOutcome == OrderOutcome::Refused) {
    LOGW("A rank refuses to prepare the map. rank=" << aRank
                                                    << " version=" << aVersion);
  }
  if (aOutcome == OrderOutcome::Unknown && aVersion == mPreparingVersion) {
    mUnansweredRanks.insert(aRank);
  }
}

void
GroupLeader::ContinuePreparing()
{
  const auto now = mClock.Now();
  bool isReady = true;
  for (size_t rank = 0; rank < mSampler.All().size(); ++rank) {
    const RankState& state = mSampler.State(rank);
    isReady = isReady && state.mPreparedVersion == mPreparingVersion;
  }
  if (isReady) {
    const uint64_t step = NextStep();
    if (step <= mSampler.State(0).mStep + kMaxPassesAhead) {
      LOGI("All ranks have prepared the map. group="
           << mLocalRank->mGroup << " version=" << mPreparingVersion
           << " milliseconds="
           << duration_cast<milliseconds>(now - mPreparingSince).count());
      BeginChange({ .mVersion = mPreparingVersion, .mStep = step });
    }
    return;
  }
  const bool isSuperseded = mHighestVersion > mPreparingVersion;
  if (isSuperseded || now >= mPrepareDeadline) {
    AbandonMap(isSuperseded ? "superseded by another leader" : "timeout");
    return;
  }
  const bool isRetryDue = now >= mPrepareRetryTime;
  for (uint32_t rank = 0; rank < mSampler.All().size(); ++rank) {
    const RankState& state = mSampler.State(rank);
    // A rank refuses a second order for a version that it has, so an unanswered
    // order can be repeated at once.
    const bool isUnanswered = mUnansweredRanks.erase(rank) > 0;
    if (state.mPreparedVersion != mPreparingVersion &&
        (isRetryDue || isUnanswered)) {
      SendPrepare(rank);
    }
  }
  if (isRetryDue) {
    mPrepareRetryTime = now + kPrepareRetryInterval;
  }
}

void
GroupLeader::BeginChange(ChangePlan aPlan)
{
  std::vector<RankState> states;
  for (const auto& sample : mSampler.All()) {
    states.push_back(sample->mState);
  }
  aPlan.mLeaderRank = mLocalRank->mRank;
  aPlan.mLeaderTag = MakeLeaderTag(mLocalRank->mRank, mIncarnation);
  aPlan.mSupersedingVersion = NextVersion();
  mHighestUsedStep = std::max(mHighestUsedStep, aPlan.mStep);
  mChangeStep = aPlan.mStep;
  mRunner.Begin(aPlan, std::move(states), [this](const MapChange& aChange) {
    EndChange(aChange);
  });
}

uint64_t
GroupLeader::NextStep() const
{
  uint64_t step = mHighestUsedStep;
  for (const auto& sample : mSampler.All()) {
    step = std::max(step, sample->mState.mStep + kMinPassesAhead - 1);
  }
  return step + 1;
}

void
GroupLeader::EndChange(const MapChange& aChange)
{
  mHighestVersion = std::max(mHighestVersion, aChange.SupersedingVersion());
  if (aChange.HasBegunRelease()) {
    mReleasedSteps.insert(mChangeStep);
  }
  if (!aChange.HasSucceeded()) {
    mNextPlanTime = mClock.Now() + kDelayAfterFailedChange;
  }
  mPreparingVersion = 0;
}

}
