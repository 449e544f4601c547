#include "rebalancing/placement.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever::rebalancing;

TEST_GROUP(Placement){};

TEST(Placement, EvenLoadOnRoundRobinHasNoSkew)
{
  const auto placement = Placement::RoundRobin(8, 4, 2);

  DOUBLES_EQUAL(1.0, placement.Skew(Loads(8, 5.0)), 1e-9);
}

TEST(Placement, AHotExpertIsReplicated)
{
  Loads loads(8, 1.0);
  loads[3] = 20;

  const auto placement = Placement::Balanced(loads, 4, 3);

  CHECK_EQUAL(4u, placement.Replicas(3));
  CHECK(placement.Skew(loads) < 1.2);
}

TEST(Placement, EveryExpertIsPlaced)
{
  const auto placement =
    Placement::Balanced(Loads{ 100, 1, 1, 1, 1, 1, 1, 0 }, 4, 2);

  for (Expert expert = 0; expert < 8; ++expert) {
    CHECK(placement.Replicas(expert) >= 1);
  }
}
