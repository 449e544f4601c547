#include "rankagent/internal/countedranks.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever::rankagent;

TEST_GROUP(CountedRanks)
{
  std::vector<RankActivity> mRanks{ { 0, "near", 2 },
                                    { 1, "far", 1 },
                                    { 2, "near", 0 },
                                    { 3, "far", 0 },
                                    { 4, "gone", 0 } };

  void CheckOrder(const std::vector<uint32_t>& aExpected)
  {
    CHECK(OrderForCounting(mRanks, "near") == aExpected);
  }
};

TEST(CountedRanks, TheOwnZoneComesFirst)
{
  CheckOrder({ 0, 2, 1, 3, 4 });
}

TEST(CountedRanks, AZoneThatIsOutOfServiceComesLast)
{
  mRanks[0].mRequests = 0;

  CheckOrder({ 1, 3, 0, 2, 4 });
}
