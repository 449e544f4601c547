#include "gateway/retryallowance.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever;
using namespace beryllever::gateway;

TEST_GROUP(RetryAllowance)
{
  global::ManualClock mClock;
  RetryAllowance mAllowance{ mClock };
};

TEST(RetryAllowance, AllGatewaysTogetherKeepTheBoundInEveryWindow)
{
  constexpr int kGateways = 8;
  constexpr double kExtra = 92;
  mAllowance.SetBounds({ 0.2, kExtra, std::chrono::seconds(10), kGateways });
  std::deque<global::TimePoint> requests;
  std::deque<global::TimePoint> repeats;
  for (int i = 0; i < 4000; ++i) {
    mAllowance.NoteRequest();
    requests.push_back(mClock.Now());
    if (mAllowance.TrySpend()) {
      repeats.push_back(mClock.Now());
    }
    const auto start = mClock.Now() - std::chrono::seconds(10);
    while (requests.front() < start) {
      requests.pop_front();
    }
    while (!repeats.empty() && repeats.front() < start) {
      repeats.pop_front();
    }
    CHECK(static_cast<double>(repeats.size()) * kGateways <=
          0.2 * static_cast<double>(requests.size()) * kGateways + kExtra);
    mClock.Advance(std::chrono::milliseconds(20 + i % 100));
  }
}

TEST(RetryAllowance, RepeatsComeBackAfterTheWindow)
{
  mAllowance.SetBounds({ 0, 2, std::chrono::seconds(10), 1 });
  CHECK(mAllowance.TrySpend());
  CHECK_FALSE(mAllowance.TrySpend());

  mClock.Advance(std::chrono::seconds(11));

  CHECK(mAllowance.TrySpend());
}
