#include "routing/retrybudget.h"

#include <CppUTest/TestHarness.h>

TEST_GROUP(RetryBudget){};

TEST(RetryBudget, RetriesStayAShareOfRequests)
{
  beryllever::routing::RetryBudget budget;
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.RecordRequest();
    while (budget.TryConsume()) {
      ++retries;
    }
  }

  CHECK(retries >= 200);
  CHECK(retries <= 215);
}
