#include "gateway/waitestimator.h"
#include "gateway/admissionqueue.h"

#include <CppUTest/TestHarness.h>
#include <queue>
#include <random>

using namespace beryllever;
using namespace beryllever::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(WaitEstimator)
{
  global::ManualClock mClock;
  WaitEstimator mEstimator{ mClock };

  /** Frees a place every 10 ms. */
  void Free(int aPlaces)
  {
    mEstimator.SetWaiting(true);
    for (int i = 0; i < aPlaces; ++i) {
      mClock.Advance(milliseconds(10));
      mEstimator.RecordFreed();
    }
  }
};

// Fails if a few completions are taken for a rate.
TEST(WaitEstimator, FewCompletionsGiveNoEstimate)
{
  Free(19);

  CHECK(!mEstimator.EstimateWait(0, { .mSameClass = 1000 }));
  CHECK(!mEstimator.BookReturn(0, {}, seconds(9)));
}

// Fails if the rate of a pool with free places is taken for its capacity.
TEST(WaitEstimator, CompletionsWhileNobodyWaitsDoNotCount)
{
  Free(100);
  mEstimator.SetWaiting(false);
  mEstimator.SetWaiting(true);
  mClock.Advance(milliseconds(10));

  CHECK(!mEstimator.Rate());
}

// Fails if requests ahead, or arrivals of more urgent classes, do not count.
TEST(WaitEstimator, MoreUrgentRequestsAndArrivalsDelay)
{
  Free(50);
  CHECK(*mEstimator.EstimateWait(1, { 10, 39 }) == milliseconds(500));

  for (int i = 0; i < 25; ++i) {
    mEstimator.RecordArrival(0);
  }

  CHECK(*mEstimator.EstimateWait(1, { 10, 39 }) == seconds(1));
  CHECK(*mEstimator.EstimateWait(0, { 0, 49 }) == milliseconds(500));
}

// Fails if the least urgent class is refused although it keeps its minimum.
TEST(WaitEstimator, TheLeastUrgentClassGetsItsMinimum)
{
  Free(50);
  for (int i = 0; i < 100; ++i) {
    mEstimator.RecordArrival(0);
  }

  CHECK(*mEstimator.EstimateWait(1, { 10, 4 }) > seconds(10));
  CHECK(*mEstimator.EstimateWait(1, { 10, 4, true }) == milliseconds(500));
}

// Fails if refused callers return at the same time, or less urgent ones first.
TEST(WaitEstimator, CallersReturnAtTheRateOfPlaces)
{
  Free(50);

  CHECK(*mEstimator.BookReturn(0, {}, seconds(2)) == milliseconds(10));
  CHECK(*mEstimator.BookReturn(0, {}, seconds(2)) == milliseconds(20));
  CHECK(*mEstimator.BookReturn(2, {}, seconds(2)) == milliseconds(30));
  CHECK(*mEstimator.BookReturn(0, {}, seconds(2)) == milliseconds(30));
  CHECK(!mEstimator.BookReturn(2, {}, milliseconds(30)));
}

/** A pool under load: 100 places a second, 30 urgent requests a second, and a
 * burst of the least urgent. Time goes in steps of a millisecond. */
TEST_GROUP(Overload)
{
  static constexpr int kPlaces = 40;
  static constexpr milliseconds kLimit{ 900 };

  struct Class
  {
    int mPlaced = 0;
    int mRefusedOnArrival = 0;
    int mRefusedWaiting = 0;
    int mExpired = 0;
    milliseconds mLongestWait{ 0 };
  };

  global::ManualClock mClock;
  AdmissionQueue mQueue{ 64 };
  WaitEstimator mEstimator{ mClock };
  std::mt19937_64 mRandom{ 1 };
  std::priority_queue<global::TimePoint,
                      std::vector<global::TimePoint>,
                      std::greater<>>
    mRunning;
  std::map<int, Class> mClasses;
  double mUrgentPerSecond = 30;
  /** No place becomes free. */
  bool mIsStalled = false;

  bool TryPlace(int aPriority, global::TimePoint aArrival)
  {
    if (mRunning.size() >= kPlaces) {
      return false;
    }
    const std::uniform_int_distribution<int>::param_type range(200, 600);
    std::uniform_int_distribution<int> duration(range);
    mRunning.push(mClock.Now() + milliseconds(duration(mRandom)));
    Class& counts = mClasses[aPriority];
    ++counts.mPlaced;
    counts.mLongestWait = std::max(
      counts.mLongestWait,
      std::chrono::duration_cast<milliseconds>(mClock.Now() - aArrival));
    return true;
  }

  void Arrive(int aPriority)
  {
    const auto now = mClock.Now();
    mEstimator.RecordArrival(aPriority);
    if (!mQueue.MustQueue(aPriority) && TryPlace(aPriority, now)) {
      mQueue.RecordPlaced();
      return;
    }
    const auto wait = mEstimator.EstimateWait(
      aPriority, mQueue.Ahead(aPriority), kArrivalDeviations);
    const bool isHopeless = wait && *wait > kLimit;
    const bool isQueued =
      !isHopeless &&
      mQueue.Add(
        { .mWorkspace = "w",
          .mPriority = aPriority,
          .mTryPlace =
            [this, aPriority, now] { return TryPlace(aPriority, now); },
          .mOnRefused =
            [this, aPriority](QueueRefusal aRefusal) {
              Class& counts = mClasses[aPriority];
              ++(aRefusal == QueueRefusal::Expired ? counts.mExpired
                                                   : counts.mRefusedWaiting);
            },
          .mDeadline = now + kLimit }) != 0;
    if (!isQueued) {
      ++mClasses[aPriority].mRefusedOnArrival;
    }
  }

  void Step(double aLowPerSecond)
  {
    mClock.Advance(milliseconds(1));
    while (!mIsStalled && !mRunning.empty() && mRunning.top() <= mClock.Now()) {
      mRunning.pop();
      mEstimator.RecordFreed();
    }
    std::uniform_real_distribution<double> draw(0, 1000);
    if (draw(mRandom) < mUrgentPerSecond) {
      Arrive(0);
    }
    if (draw(mRandom) < aLowPerSecond) {
      Arrive(2);
    }
    mQueue.Serve();
    mQueue.RefuseExpired(mClock.Now());
    mQueue.RefuseHopeless(mEstimator, mClock.Now());
    mEstimator.SetWaiting(mQueue.Size() > 0);
  }

  void Run(milliseconds aTime, double aLowPerSecond)
  {
    for (milliseconds time{ 0 }; time < aTime; ++time) {
      Step(aLowPerSecond);
    }
  }

  /** Begins a burst of the least urgent class after a time without one. */
  void RunBurst(double aLowPerSecond)
  {
    Run(seconds(2), 40);
    mClasses.clear();
    Run(seconds(4), aLowPerSecond);
  }

  void CheckUrgentStartInTime()
  {
    const Class& urgent = mClasses[0];
    CHECK(urgent.mPlaced > 80);
    CHECK_EQUAL(
      0, urgent.mRefusedOnArrival + urgent.mRefusedWaiting + urgent.mExpired);
    CHECK(urgent.mLongestWait < milliseconds(150));
  }

  /** Requests whose wait ends without a place are few: the others are refused
   * before they wait. */
  void CheckRefusedEarly()
  {
    const Class& low = mClasses[2];
    const int refused =
      low.mRefusedOnArrival + low.mRefusedWaiting + low.mExpired;
    CHECK(low.mRefusedOnArrival > 50);
    CHECK(low.mRefusedOnArrival * 5 > refused * 4);
    CHECK(low.mExpired * 50 < refused);
    CHECK(low.mLongestWait <= kLimit);
  }
};

// Fails if a burst of the least urgent class delays urgent requests, or if its
// requests wait in vain or get fewer places than are left.
TEST(Overload, ABurstOfOneAndAHalfTimesTheCapacity)
{
  RunBurst(120);

  CheckUrgentStartInTime();
  CheckRefusedEarly();
  CHECK(mClasses[2].mPlaced > 240);
}

// The same where the queue would be full all the time.
TEST(Overload, ABurstOfTwoAndAHalfTimesTheCapacity)
{
  RunBurst(220);

  CheckUrgentStartInTime();
  CheckRefusedEarly();
  CHECK(mClasses[2].mPlaced > 240);
}

// Fails if urgent requests that need more than all places starve the others.
TEST(Overload, TheLeastUrgentIsNotStarved)
{
  mUrgentPerSecond = 120;

  RunBurst(40);

  const int placed = mClasses[0].mPlaced + mClasses[2].mPlaced;
  CHECK(mClasses[2].mPlaced * 11 >= placed);
  CHECK(mClasses[2].mPlaced * 5 <= placed);
}

// Fails if requests wait beyond their limit while no place becomes free, or if
// the pool does not recover at once: refuses what it could serve, or lets the
// urgent wait behind the rest.
TEST(Overload, PlacesStopBecomingFreeForAWhile)
{
  RunBurst(120);
  mIsStalled = true;
  Run(seconds(3), 120);
  CHECK(mClasses[0].mLongestWait <= kLimit);
  CHECK(mClasses[2].mLongestWait <= kLimit);
  mIsStalled = false;
  Run(milliseconds(100), 120);

  RunBurst(120);

  CheckUrgentStartInTime();
  CheckRefusedEarly();
  CHECK(mClasses[2].mPlaced > 240);
}
