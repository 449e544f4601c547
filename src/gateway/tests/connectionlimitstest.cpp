#include "gateway/connectionlimits.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever;
using namespace beryllever::gateway;
using std::chrono::milliseconds;

TEST_GROUP(ConnectionLimits)
{
  global::ManualClock mClock;
  ConnectionLimits mLimits{ mClock };

  void Update(int aIdleMilliseconds)
  {
    mLimits.Update({ .mIdleTimeout = milliseconds(aIdleMilliseconds) });
  }

  void CheckIdleTimeout(int aIdleMilliseconds) const
  {
    LONGS_EQUAL(aIdleMilliseconds, mLimits.Current().mIdleTimeout.count());
  }
};

TEST(ConnectionLimits, ARaisedIdleLimitAppliesAtOnce)
{
  Update(5000);
  Update(20000);

  CheckIdleTimeout(20000);
}

TEST(ConnectionLimits, ALoweredIdleLimitAppliesWhenAllCallersKnowIt)
{
  Update(20000);
  Update(5000);
  CheckIdleTimeout(20000);

  mClock.Advance(ConnectionLimits::kPropagationTime);
  CheckIdleTimeout(5000);
}

// Guards against a second version that makes the gateway forget the longest.
TEST(ConnectionLimits, TheLongestOfSeveralRecentIdleLimitsApplies)
{
  Update(20000);
  Update(5000);
  mClock.Advance(ConnectionLimits::kPropagationTime / 2);
  Update(10000);
  CheckIdleTimeout(20000);
  Update(5000);

  mClock.Advance(ConnectionLimits::kPropagationTime / 2);
  CheckIdleTimeout(20000);
}

TEST(ConnectionLimits, OtherLimitsApplyAtOnce)
{
  mLimits.Update({ .mHeaderBytes = 100, .mBodyBytes = 200 });

  LONGS_EQUAL(100, mLimits.Current().mHeaderBytes);
  LONGS_EQUAL(200, mLimits.Current().mBodyBytes);
}
