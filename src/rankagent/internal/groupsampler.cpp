#include "rankagent/internal/groupsampler.h"

#include "framework/log/log.h"

#include <algorithm>

namespace beryllever::rankagent {

namespace {

constexpr char kLogTag[] = "group";
/** Number of ranks whose counts are read. They are representative of the group,
 * and the counts of 256 ranks would exceed the capacity of the leader's link.
 */
constexpr size_t kMaxCountedRanks = 12;

}

GroupSampler::GroupSampler(IGroupPort& aPort)
  : mPort(aPort)
{
}

void
GroupSampler::BeginRound(size_t aRanks,
                         bool aWantsCounts,
                         std::function<void()> aOnEnd)
{
  ++mRound;
  mIsReading = true;
  mPending = aRanks;
  mOnEnd = std::move(aOnEnd);
  mSamples.assign(aRanks, std::nullopt);
  const std::vector<uint32_t> ranks = mPort.RanksToCount();
  const auto end = ranks.begin() + static_cast<std::ptrdiff_t>(
                                     std::min(ranks.size(), kMaxCountedRanks));
  for (uint32_t rank = 0; rank < aRanks; ++rank) {
    const bool isCounted =
      aWantsCounts && std::find(ranks.begin(), end, rank) != end;
    mPort.Sample(rank,
                 isCounted ? SampleDepth::Counts : SampleDepth::Placement,
                 [this, round = mRound, rank](auto aSample) {
                   HandleSample(round, rank, std::move(aSample));
                 });
  }
}

void
GroupSampler::HandleSample(uint64_t aRound,
                           size_t aRank,
                           std::optional<RankSample> aSample)
{
  if (aRound != mRound || !mIsReading) {
    return;
  }
  if (aSample && aSample->mState.mRank != aRank) {
    LOGW("A read reached another rank. rank="
         << aRank << " reportedRank=" << aSample->mState.mRank << " group="
         << aSample->mState.mGroup << " epoch=" << aSample->mState.mEpoch);
    aSample.reset();
  }
  mSamples[aRank] = std::move(aSample);
  if (--mPending > 0) {
    return;
  }
  mIsReading = false;
  UpdateUnreadableRanks();
  const auto onEnd = std::move(mOnEnd);
  onEnd();
}

void
GroupSampler::UpdateUnreadableRanks()
{
  const auto unread = static_cast<size_t>(
    std::count(mSamples.begin(), mSamples.end(), std::nullopt));
  if ((unread == 0) == (mUnreadableRanks == 0)) {
    return;
  }
  mUnreadableRanks = unread;
  if (unread == 0) {
    LOGI("All ranks can be read. group=" << mSamples[0]->mState.mGroup);
    return;
  }
  const auto first = std::find(mSamples.begin(), mSamples.end(), std::nullopt);
  LOGW("Ranks cannot be read. unread=" << unread << " of=" << mSamples.size()
                                       << " first="
                                       << first - mSamples.begin());
}

bool
GroupSampler::IsConsistent() const
{
  const auto& first = mSamples[0];
  return std::all_of(
    mSamples.begin(), mSamples.end(), [&](const auto& aSample) {
      return aSample && first && aSample->mState.mIsOpen &&
             aSample->mState.mSize == mSamples.size() &&
             aSample->mState.mGroup == first->mState.mGroup &&
             aSample->mState.mEpoch == first->mState.mEpoch;
    });
}

bool
GroupSampler::HasGroupChanged(const std::string& aGroup, uint64_t aEpoch) const
{
  return std::any_of(
    mSamples.begin(), mSamples.end(), [&](const auto& aSample) {
      return aSample &&
             (!aSample->mState.mIsOpen || aSample->mState.mGroup != aGroup ||
              aSample->mState.mEpoch != aEpoch);
    });
}

bool
GroupSampler::IsSwitching() const
{
  const uint64_t map = State(0).mMapVersion;
  return std::any_of(
    mSamples.begin(), mSamples.end(), [&](const auto& aSample) {
      return aSample->mState.mArmedVersion != 0 ||
             aSample->mState.mMapVersion != map;
    });
}

uint64_t
GroupSampler::HighestVersion() const
{
  uint64_t highest = 0;
  for (const auto& sample : mSamples) {
    const RankState& state = sample->mState;
    highest = std::max({ highest,
                         state.mMapVersion,
                         state.mPreparedVersion,
                         state.mArmedVersion });
  }
  return highest;
}

ExpertMap
GroupSampler::CurrentMap(size_t aLayers) const
{
  ExpertMap map(aLayers);
  for (size_t layer = 0; layer < aLayers; ++layer) {
    for (const auto& sample : mSamples) {
      if (sample->mExperts.size() != aLayers) {
        return {};
      }
      map[layer].push_back(sample->mExperts[layer]);
    }
  }
  return map;
}

}
