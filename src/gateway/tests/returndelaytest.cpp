#include "gateway/returndelay.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <map>

using namespace beryllever::gateway;
using std::chrono::milliseconds;

TEST_GROUP(ReturnDelay)
{
  std::mt19937_64 mRandom{ 1 };
};

TEST(ReturnDelay, IsNotBeforeTheEndOfThePauseIfTheCallerCanWait)
{
  for (int i = 0; i < 1000; ++i) {
    const milliseconds delay =
      DrawReturnDelay(milliseconds(1500), milliseconds(2600), mRandom);
    CHECK(delay >= milliseconds(1500) && delay <= milliseconds(2600));
  }
}

TEST(ReturnDelay, IsAtMostTheLongestThatTheCallerRespects)
{
  for (int i = 0; i < 1000; ++i) {
    const milliseconds delay =
      DrawReturnDelay(milliseconds(5000), milliseconds(1000), mRandom);
    CHECK(delay >= milliseconds(700) && delay <= milliseconds(1000));
    CHECK(milliseconds(0) ==
          DrawReturnDelay(milliseconds(5000), milliseconds(0), mRandom));
  }
}

TEST(ReturnDelay, CallersOfAPauseDoNotReturnTogether)
{
  // A caller every 2 ms of a pause of 2 s.
  std::map<int64_t, int> returns;
  for (int at = 0; at < 2000; at += 2) {
    const milliseconds delay =
      DrawReturnDelay(milliseconds(2000 - at), milliseconds(60000), mRandom);
    ++returns[(at + delay.count()) / 100];
  }
  int most = 0;
  for (const auto& [tenth, count] : returns) {
    most = std::max(most, count);
  }
  // 1,000 callers; evenly spread over 2 s it would be 50 in a tenth.
  CHECK(most < 250);
  CHECK(returns.begin()->first >= 20);
}
