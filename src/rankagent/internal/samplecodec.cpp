#include "rankagent/internal/samplecodec.h"

#include <algorithm>

namespace beryllever::rankagent {

namespace {

RankState
StateOf(const mesh::v1::SampleReply& aReply)
{
  return { .mGroup = aReply.group(),
           .mEpoch = aReply.epoch(),
           .mRank = aReply.rank(),
           .mSize = aReply.size(),
           .mIsOpen = aReply.is_open(),
           .mPace = aReply.pace(),
           .mIsBusy = aReply.is_busy(),
           .mStep = aReply.step(),
           .mMapVersion = aReply.map_version(),
           .mPreparedVersion = aReply.prepared_version(),
           .mArmedVersion = aReply.armed_version(),
           .mArmedStep = aReply.armed_step(),
           .mHeldStep = aReply.held_step() };
}

void
WriteState(const RankState& aState, mesh::v1::SampleReply& aReply)
{
  aReply.set_is_known(true);
  aReply.set_group(aState.mGroup);
  aReply.set_epoch(aState.mEpoch);
  aReply.set_rank(aState.mRank);
  aReply.set_size(aState.mSize);
  aReply.set_is_open(aState.mIsOpen);
  aReply.set_is_busy(aState.mIsBusy);
  aReply.set_pace(aState.mPace);
  aReply.set_step(aState.mStep);
  aReply.set_map_version(aState.mMapVersion);
  aReply.set_prepared_version(aState.mPreparedVersion);
  aReply.set_armed_version(aState.mArmedVersion);
  aReply.set_armed_step(aState.mArmedStep);
  aReply.set_held_step(aState.mHeldStep);
}

}

SampleWriter::SampleWriter(uint64_t aSeed)
  : mCountsName(aSeed)
{
}

void
SampleWriter::Write(const RankSample& aSample,
                    const mesh::v1::SampleRequest& aRequest,
                    mesh::v1::SampleReply& aReply)
{
  WriteState(aSample.mState, aReply);
  if (!aSample.mCounts.empty()) {
    WriteCounts(aSample.mCounts, aRequest.known_counts(), aReply);
  }
  const bool isKnown =
    aRequest.has_known_map() && !aSample.mExperts.empty() &&
    aRequest.known_map_epoch() == aSample.mState.mEpoch &&
    aRequest.known_map_version() == aSample.mState.mMapVersion;
  aReply.set_are_experts_known(isKnown);
  if (isKnown) {
    return;
  }
  for (const auto& experts : aSample.mExperts) {
    aReply.add_experts()->mutable_experts()->Add(experts.begin(),
                                                 experts.end());
  }
}

void
SampleWriter::WriteCounts(const std::vector<uint64_t>& aCounts,
                          uint64_t aKnownCounts,
                          mesh::v1::SampleReply& aReply)
{
  // The counts of a restarted rank begin at 0 again.
  const bool isRelative =
    aKnownCounts == mCountsName && aCounts.size() == mCounts.size() &&
    std::equal(
      aCounts.begin(), aCounts.end(), mCounts.begin(), std::greater_equal<>());
  for (size_t i = 0; i < aCounts.size(); ++i) {
    aReply.add_counts(isRelative ? aCounts[i] - mCounts[i] : aCounts[i]);
  }
  mCounts = aCounts;
  aReply.set_counts_since(isRelative ? mCountsName : 0);
  // 0 names no counts.
  mCountsName = std::max<uint64_t>(1, mCountsName + 1);
  aReply.set_counts_name(mCountsName);
}

mesh::v1::SampleRequest
SampleReader::MakeRequest(SampleDepth aDepth) const
{
  mesh::v1::SampleRequest request;
  request.set_wants_counts(aDepth == SampleDepth::Counts);
  request.set_wants_placement(aDepth != SampleDepth::State);
  request.set_known_counts(mCountsName);
  request.set_has_known_map(mHasExperts);
  request.set_known_map_epoch(mEpoch);
  request.set_known_map_version(mMapVersion);
  return request;
}

std::vector<uint64_t>
SampleReader::ReadCounts(const mesh::v1::SampleReply& aReply)
{
  std::vector<uint64_t> counts(aReply.counts().begin(), aReply.counts().end());
  if (counts.empty()) {
    return counts;
  }
  if (aReply.counts_since() != 0) {
    // Replies to two requests may overtake each other.
    if (aReply.counts_since() != mCountsName ||
        counts.size() != mCounts.size()) {
      mCountsName = 0;
      return {};
    }
    std::transform(counts.begin(),
                   counts.end(),
                   mCounts.begin(),
                   counts.begin(),
                   std::plus<>());
  }
  mCounts = counts;
  mCountsName = aReply.counts_name();
  return counts;
}

std::optional<RankSample>
SampleReader::Read(const mesh::v1::SampleReply& aReply)
{
  if (!aReply.is_known()) {
    return std::nullopt;
  }
  RankSample sample{ .mState = StateOf(aReply) };
  sample.mCounts = ReadCounts(aReply);
  if (aReply.are_experts_known()) {
    sample.mExperts = mExperts;
    return sample;
  }
  for (const auto& experts : aReply.experts()) {
    sample.mExperts.emplace_back(experts.experts().begin(),
                                 experts.experts().end());
  }
  if (!sample.mExperts.empty()) {
    mHasExperts = true;
    mExperts = sample.mExperts;
    mEpoch = sample.mState.mEpoch;
    mMapVersion = sample.mState.mMapVersion;
  }
  return sample;
}

}
