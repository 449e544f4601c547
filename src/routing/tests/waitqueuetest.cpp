#include "routing/waitqueue.h"

#include <CppUTest/TestHarness.h>
#include <map>

using namespace beryllever;
using routing::QueuedRequest;
using routing::WaitQueue;

namespace {

QueuedRequest
MakeRequest(uint64_t aId,
            const std::string& aWorkspace,
            int aPriority = 5,
            int aWeight = 1)
{
  return { aId, aWorkspace, aPriority, aWeight, global::TimePoint::max() };
}

}

TEST_GROUP(WaitQueue){};

TEST(WaitQueue, ALargeWorkspaceDoesNotHoldUpASmallOne)
{
  WaitQueue queue(100);
  for (uint64_t i = 0; i < 50; ++i) {
    queue.Push(MakeRequest(i, "large"));
  }
  queue.Push(MakeRequest(100, "small"));

  queue.Pop();

  CHECK_EQUAL(100u, queue.Front()->mId);
}

TEST(WaitQueue, WorkspacesShareByWeight)
{
  WaitQueue queue(1000);
  for (uint64_t i = 0; i < 300; ++i) {
    queue.Push(MakeRequest(i, "a", 5, 3));
    queue.Push(MakeRequest(1000 + i, "b", 5, 1));
  }
  std::map<std::string, int> served;
  for (int i = 0; i < 100; ++i) {
    ++served[queue.Front()->mWorkspace];
    queue.Pop();
  }

  CHECK(served["a"] >= 74 && served["a"] <= 76);
}

TEST(WaitQueue, AHigherPriorityGoesFirstAndIsShedLast)
{
  WaitQueue queue(2);
  queue.Push(MakeRequest(1, "a", 2));
  queue.Push(MakeRequest(2, "a", 2));

  const auto shed = queue.Push(MakeRequest(3, "b", 8));

  CHECK_EQUAL(2u, shed->mId);
  CHECK_EQUAL(3u, queue.Front()->mId);
}

TEST(WaitQueue, AFullQueueShedsTheWorkspaceWithTheMost)
{
  WaitQueue queue(3);
  queue.Push(MakeRequest(1, "large"));
  queue.Push(MakeRequest(2, "large"));
  queue.Push(MakeRequest(3, "small"));

  CHECK_EQUAL(4u, queue.Push(MakeRequest(4, "large"))->mId);
  CHECK_EQUAL(2u, queue.Push(MakeRequest(5, "small"))->mId);
}

TEST(WaitQueue, ExpiredRequestsAreRemoved)
{
  WaitQueue queue(3);
  QueuedRequest request = MakeRequest(1, "a");
  request.mDeadline = global::TimePoint(std::chrono::seconds(5));
  queue.Push(request);
  queue.Push(MakeRequest(2, "a"));

  const auto expired =
    queue.RemoveExpired(global::TimePoint(std::chrono::seconds(6)));

  CHECK_EQUAL(1u, expired.size());
  CHECK_EQUAL(2u, queue.Front()->mId);
}

// Fails if a workspace that joins a class is served ahead of the others in it
// because other classes were served before.
TEST(WaitQueue, SharesOfAClassDoNotDependOnOtherClasses)
{
  WaitQueue queue(100);
  for (uint64_t i = 0; i < 10; ++i) {
    queue.Push(MakeRequest(i, "a", 8));
  }
  queue.Push(MakeRequest(50, "c", 2));
  for (uint64_t i = 0; i < 5; ++i) {
    queue.Pop();
  }
  queue.Take(50);
  for (uint64_t i = 20; i < 25; ++i) {
    queue.Push(MakeRequest(i, "b", 8));
  }

  std::map<std::string, int> served;
  for (int i = 0; i < 4; ++i) {
    ++served[queue.Front()->mWorkspace];
    queue.Pop();
  }

  CHECK(served["a"] >= 1);
}

// Fails if a place kept for the lowest priority goes to another one.
TEST(WaitQueue, TheLowestFrontIsOfTheLowestPriority)
{
  WaitQueue queue(3);
  queue.Push(MakeRequest(1, "a", 2));
  queue.Push(MakeRequest(2, "a", 8));

  CHECK_EQUAL(1u, queue.LowestFront()->mId);
}
