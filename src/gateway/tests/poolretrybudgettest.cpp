#include "gateway/poolretrybudget.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever;
using namespace beryllever::gateway;

TEST_GROUP(PoolRetryBudget)
{
  global::ManualClock mClock;
  PoolRetryBudget mBudget{ mClock };
};

TEST(PoolRetryBudget, AllGatewaysTogetherKeepTheBoundInEveryWindow)
{
  constexpr int kGateways = 8;
  constexpr double kExtra = 92;
  mBudget.SetLimits({ 0.2, kExtra, std::chrono::seconds(10), kGateways });
  std::deque<global::TimePoint> requests;
  std::deque<global::TimePoint> retries;
  for (int i = 0; i < 4000; ++i) {
    mBudget.RecordRequest();
    requests.push_back(mClock.Now());
    if (mBudget.TryConsume()) {
      retries.push_back(mClock.Now());
    }
    const auto start = mClock.Now() - std::chrono::seconds(10);
    while (requests.front() < start) {
      requests.pop_front();
    }
    while (!retries.empty() && retries.front() < start) {
      retries.pop_front();
    }
    CHECK(static_cast<double>(retries.size()) * kGateways <=
          0.2 * static_cast<double>(requests.size()) * kGateways + kExtra);
    mClock.Advance(std::chrono::milliseconds(20 + i % 100));
  }
}

TEST(PoolRetryBudget, RetriesAreAllowedAgainAfterTheWindow)
{
  mBudget.SetLimits({ 0, 2, std::chrono::seconds(10), 1 });
  CHECK(mBudget.TryConsume());
  CHECK_FALSE(mBudget.TryConsume());

  mClock.Advance(std::chrono::seconds(11));

  CHECK(mBudget.TryConsume());
}
