#include "rankagent/internal/groupsampler.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever::rankagent;

namespace {

constexpr size_t kRanks = 2;

/** Group whose reads are answered at once. */
class AnsweringGroup : public IGroupPort
{
public:
  /** Answer to the read of each rank. */
  std::vector<RankState> mAnswers;

  std::vector<uint32_t> LiveRanks() const override { return { 1 }; }
  std::vector<uint32_t> EligibleRanks() const override { return { 1 }; }
  std::vector<uint32_t> RanksToCount() const override { return { 0, 1 }; }
  void Sample(uint32_t aRank, SampleDepth, OnSample aOnSample) override
  {
    aOnSample(RankSample{ .mState = mAnswers[aRank] });
  }
  void Order(uint32_t, const RankOrder&, OnOutcome) override {}
  void OrderAll(const RankOrder&, OnRankOutcome) override {}
};

RankState
StateOf(uint32_t aRank, uint32_t aSize)
{
  return {
    .mGroup = "g", .mEpoch = 3, .mRank = aRank, .mSize = aSize, .mIsOpen = true
  };
}

}

TEST_GROUP(GroupSampler)
{
  AnsweringGroup mGroup;
  GroupSampler mSampler{ mGroup };

  void Read()
  {
    mSampler.BeginRound(kRanks, false, [] {});
  }
};

TEST(GroupSampler, AGroupReadRankByRankIsConsistent)
{
  mGroup.mAnswers = { StateOf(0, kRanks), StateOf(1, kRanks) };

  Read();

  CHECK(mSampler.IsConsistent());
}

TEST(GroupSampler, AGroupOfWhichOneRankIsReadTwiceIsNotConsistent)
{
  mGroup.mAnswers = { StateOf(0, kRanks), StateOf(0, kRanks) };

  Read();

  CHECK_FALSE(mSampler.IsConsistent());
}

TEST(GroupSampler, AGroupOfMoreRanksThanWereReadIsNotConsistent)
{
  mGroup.mAnswers = { StateOf(0, kRanks + 1), StateOf(1, kRanks + 1) };

  Read();

  CHECK_FALSE(mSampler.IsConsistent());
}
