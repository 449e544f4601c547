#include "rankagent/internal/samplecodec.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever;
using namespace beryllever::rankagent;

namespace {

constexpr size_t kLayers = 16;
constexpr size_t kExperts = 258;

/** Sample of a rank that has chosen each expert aCount times. */
RankSample
MakeSample(uint64_t aCount, uint64_t aMapVersion = 7)
{
  return { .mState = { .mGroup = "g0",
                       .mEpoch = 2,
                       .mRank = 3,
                       .mSize = 129,
                       .mIsOpen = true,
                       .mStep = 812,
                       .mMapVersion = aMapVersion },
           .mCounts = std::vector<uint64_t>(kLayers * kExperts, aCount),
           .mExperts = RankExperts(kLayers, { 1, 2, 200 }) };
}

}

TEST_GROUP(SampleCodec)
{
  SampleWriter mWriter{ 100 };
  SampleReader mReader;

  std::optional<RankSample> Pass(const RankSample& aSample, SampleDepth aDepth)
  {
    mReply.Clear();
    mWriter.Write(aSample, mReader.MakeRequest(aDepth), mReply);
    return mReader.Read(mReply);
  }

  mesh::v1::SampleReply mReply;
};

TEST(SampleCodec, TheSecondSampleCarriesOnlyWhatHasChanged)
{
  CHECK(Pass(MakeSample(1000000), SampleDepth::Counts).has_value());
  const size_t whole = mReply.ByteSizeLong();

  const auto second = Pass(MakeSample(1000020), SampleDepth::Counts);

  CHECK(mReply.ByteSizeLong() * 2 < whole);
  CHECK(second->mCounts == MakeSample(1000020).mCounts);
  CHECK(second->mExperts == MakeSample(0).mExperts);
  LONGS_EQUAL(812, second->mState.mStep);
}

TEST(SampleCodec, ALostReplyIsMadeGood)
{
  Pass(MakeSample(1000), SampleDepth::Counts);
  mesh::v1::SampleReply lost;
  mWriter.Write(
    MakeSample(2000), mReader.MakeRequest(SampleDepth::Counts), lost);

  const auto next = Pass(MakeSample(3000), SampleDepth::Counts);

  CHECK(next->mCounts == MakeSample(3000).mCounts);
}

TEST(SampleCodec, CountsOfRepliesThatOvertakeEachOtherAreNotAddedTwice)
{
  Pass(MakeSample(1000), SampleDepth::Counts);
  const auto request = mReader.MakeRequest(SampleDepth::Counts);
  mesh::v1::SampleReply first;
  mesh::v1::SampleReply second;
  mWriter.Write(MakeSample(1010), request, first);
  mWriter.Write(MakeSample(1020), request, second);

  CHECK(mReader.Read(second)->mCounts == MakeSample(1020).mCounts);
  CHECK(mReader.Read(first)->mCounts.empty());

  CHECK(Pass(MakeSample(1030), SampleDepth::Counts)->mCounts ==
        MakeSample(1030).mCounts);
}

TEST(SampleCodec, ARestartedRankOrAgentIsReadWhole)
{
  Pass(MakeSample(1000), SampleDepth::Counts);
  CHECK(Pass(MakeSample(10), SampleDepth::Counts)->mCounts ==
        MakeSample(10).mCounts);

  mWriter = SampleWriter(5000);

  CHECK(Pass(MakeSample(30), SampleDepth::Counts)->mCounts ==
        MakeSample(30).mCounts);
}

TEST(SampleCodec, ANewMapIsRead)
{
  Pass(MakeSample(1000), SampleDepth::Placement);
  RankSample changed = MakeSample(1000, 8);
  changed.mExperts[0] = { 9 };

  CHECK(Pass(changed, SampleDepth::Placement)->mExperts == changed.mExperts);
}

TEST(SampleCodec, ASampleOfTheStateAloneForgetsNothing)
{
  Pass(MakeSample(1000), SampleDepth::Counts);
  RankSample state = MakeSample(0);
  state.mCounts.clear();
  state.mExperts.clear();
  CHECK(Pass(state, SampleDepth::State)->mExperts.empty());

  const auto next = Pass(MakeSample(1001), SampleDepth::Counts);

  CHECK(next->mCounts == MakeSample(1001).mCounts);
  CHECK(next->mExperts == MakeSample(0).mExperts);
}

TEST(SampleCodec, ARankThatCannotBeReadIsNotKnown)
{
  CHECK_FALSE(mReader.Read(mesh::v1::SampleReply()).has_value());
}
