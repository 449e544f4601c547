#include "rankagent/internal/stalldetector.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever;
using namespace beryllever::rankagent;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kReadInterval{ 100 };

}

TEST_GROUP(StallDetector)
{
  global::ManualClock mClock;
  StallDetector mDetector{ mClock };
  /** Time of the last pass that was started. */
  global::TimePoint mPassTime = mClock.Now();
  RankState mState{ .mEpoch = 1, .mIsOpen = true, .mRequests = 1 };

  void Read()
  {
    mDetector.RecordReadStart();
    mDetector.HandleState(mState);
    mClock.Advance(kReadInterval);
  }

  /** Runs passes of the given duration; returns whether a stall was reported.
   */
  bool Run(milliseconds aPass, milliseconds aTime)
  {
    bool isStalled = false;
    for (const auto end = mClock.Now() + aTime; mClock.Now() < end;) {
      while (mPassTime + aPass <= mClock.Now()) {
        mPassTime += aPass;
        ++mState.mStep;
      }
      Read();
      isStalled = isStalled || mDetector.IsStalled();
    }
    return isStalled;
  }

  /** Starts no pass; returns the time until a stall is reported. */
  milliseconds TimeUntilStalled()
  {
    const auto begin = mClock.Now();
    while (!mDetector.IsStalled()) {
      CHECK(mClock.Now() - begin < std::chrono::seconds(10));
      Read();
    }
    return std::chrono::duration_cast<milliseconds>(mClock.Now() - begin);
  }
};

/** Guards against gateways that send into a group that stands still for the
 * longest bound, though its passes are known to be short. */
TEST(StallDetector, ReportsAStallOfShortPassesEarly)
{
  Run(milliseconds(70), std::chrono::seconds(10));

  CHECK(TimeUntilStalled() <= milliseconds(700));
}

/** Guards against false alarms when an engine becomes five times slower, at
 * once, whatever its usual speed. */
TEST(StallDetector, ReportsNoStallOfSlowPasses)
{
  for (const int pass : { 5, 20, 40, 50, 60, 70, 80, 100, 150, 200 }) {
    const milliseconds usual(pass);
    CHECK_FALSE(Run(usual, std::chrono::seconds(10)));
    CHECK_FALSE(Run(usual * 5, std::chrono::seconds(5)));
  }
}

/** Guards against a stall that is never reported, or on a noise of reading. */
TEST(StallDetector, KeepsToItsBounds)
{
  LONGS_EQUAL(1200, mDetector.Timeout().count());
  Run(milliseconds(5), std::chrono::seconds(20));
  LONGS_EQUAL(400, mDetector.Timeout().count());
  Run(milliseconds(1000), std::chrono::seconds(120));
  CHECK(mDetector.Timeout() <= milliseconds(1200));
}

/** Guards against an alarm on the first request after a time without work, in
 * which no passes are started. */
TEST(StallDetector, CountsNoTimeWithoutWork)
{
  Run(milliseconds(70), std::chrono::seconds(10));
  mState.mRequests = 0;
  Read();
  mClock.Advance(std::chrono::seconds(5));
  Read();
  CHECK_FALSE(mDetector.IsStalled());
  const milliseconds timeout = mDetector.Timeout();

  mState.mRequests = 1;
  Read();

  CHECK_FALSE(mDetector.IsStalled());
  LONGS_EQUAL(timeout.count(), mDetector.Timeout().count());
}

/** Guards against an alarm by an agent that was itself held up: the answer that
 * it reads afterwards is as old as its question. */
TEST(StallDetector, CountsNoTimeInWhichTheAgentReadNothing)
{
  Run(milliseconds(70), std::chrono::seconds(10));
  mDetector.RecordReadStart();
  mClock.Advance(std::chrono::seconds(2));
  mDetector.HandleState(mState);

  CHECK_FALSE(mDetector.IsStalled());
}

/** Guards against a group that counts as stalled after its engine could not be
 * read or has joined a new group. */
TEST(StallDetector, BeginsAnewAfterAGap)
{
  Run(milliseconds(70), std::chrono::seconds(10));
  mDetector.Reset();
  mClock.Advance(std::chrono::seconds(3));
  Read();
  CHECK_FALSE(mDetector.IsStalled());

  mClock.Advance(std::chrono::seconds(3));
  mState.mEpoch = 2;
  Read();
  CHECK_FALSE(mDetector.IsStalled());
}
