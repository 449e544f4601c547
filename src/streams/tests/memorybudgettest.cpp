#include "streams/memorybudget.h"

#include <CppUTest/TestHarness.h>

using beryllever::streams::MemoryBudget;

TEST_GROUP(MemoryBudget){};

TEST(MemoryBudget, OneWorkspaceCannotReserveEverything)
{
  MemoryBudget budget(1000, 0.5);

  CHECK(budget.Reserve("large", 500));
  CHECK_FALSE(budget.Reserve("large", 1));
  CHECK(budget.Reserve("small", 500));
  CHECK_FALSE(budget.Reserve("third", 1));
}

TEST(MemoryBudget, ReleasedBytesCanBeReservedAgain)
{
  MemoryBudget budget(1000, 1.0);
  budget.Reserve("a", 1000);

  budget.Release("a", 1000);

  CHECK(budget.Reserve("b", 1000));
  CHECK_EQUAL(1000, budget.ReservedBytes());
}
