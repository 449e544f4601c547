#include "published/priorities.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever::published;

TEST_GROUP(Priorities)
{
  Configuration mConfiguration;

  void AddRoute(const std::string& aPool, int aPriority)
  {
    mConfiguration.mRoutes.push_back(
      { .mPriority = aPriority, .mTargets = { { aPool, 1 } } });
  }

  bool Differ(const std::string& aPool) const
  {
    return FindPrioritizedPools(mConfiguration).contains(aPool);
  }
};

/** Pools whose requests are all alike would be served in another way. */
TEST(Priorities, RoutesOfOnePoolDiffer)
{
  AddRoute("engines", 0);
  AddRoute("engines", 2);
  AddRoute("plain", 2);
  AddRoute("plain", 2);
  CHECK(Differ("engines"));
  CHECK_FALSE(Differ("plain"));
}

/** The priority of a workspace, which goes before its route's, would be lost.
 */
TEST(Priorities, WorkspacesDifferFromTheRoute)
{
  AddRoute("engines", 1);
  mConfiguration.mWorkspacesByKey["a"] = { .mName = "a", .mPriority = 1 };
  CHECK_FALSE(Differ("engines"));
  mConfiguration.mWorkspacesByKey["b"] = { .mName = "b", .mPriority = 3 };
  CHECK(Differ("engines"));
}
