#include "gateway/admissionqueue.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever;
using namespace beryllever::gateway;

TEST_GROUP(AdmissionQueue)
{
  AdmissionQueue mQueue{ 4 };
  int mPlaces = 0;
  int mTries = 0;
  std::vector<std::string> mPlaced;
  std::vector<std::string> mRefused;

  uint64_t Add(const std::string& aName,
               int aPriority,
               const std::string& aWorkspace = "w",
               bool aIsRetry = false)
  {
    return mQueue.Add(
      { .mWorkspace = aWorkspace,
        .mPriority = aPriority,
        .mIsRetry = aIsRetry,
        .mTryPlace =
          [this, aName, aIsRetry] {
            ++mTries;
            if (mPlaces == 0 || aIsRetry) {
              return false;
            }
            --mPlaces;
            mPlaced.push_back(aName);
            return true;
          },
        .mOnRefused = [this,
                       aName](QueueRefusal) { mRefused.push_back(aName); },
        .mDeadline = global::TimePoint(std::chrono::seconds(aPriority + 1)) });
  }

  void Serve(int aPlaces)
  {
    mPlaces = aPlaces;
    mQueue.Serve();
  }
};

// Fails if wake-ups without a free place cost a try for each waiting request,
// or change the order.
TEST(AdmissionQueue, AFullPoolCostsOneTryAndKeepsTheOrder)
{
  Add("late", 1);
  Add("first", 0);
  Add("second", 0);

  Serve(0);
  Serve(0);

  CHECK_EQUAL(2, mTries);
  Serve(3);
  CHECK(mPlaced == (std::vector<std::string>{ "first", "second", "late" }));
}

// Fails if a full queue turns urgent requests away, or leaves a displaced one
// without an answer.
TEST(AdmissionQueue, AnUrgentRequestDisplacesTheLatestOfTheLeastUrgent)
{
  for (const std::string name : { "a", "b", "c", "d" }) {
    Add(name, 2);
  }

  CHECK(Add("urgent", 0) != 0);
  CHECK_EQUAL(0u, Add("e", 2));

  CHECK(mRefused == std::vector<std::string>{ "d" });
  Serve(1);
  CHECK(mPlaced == std::vector<std::string>{ "urgent" });
}

// Fails if a workspace with many requests holds up one with few.
TEST(AdmissionQueue, WorkspacesOfAClassTakeTurns)
{
  Add("a1", 1, "a");
  Add("a2", 1, "a");
  Add("b1", 1, "b");

  Serve(2);

  CHECK(mPlaced == (std::vector<std::string>{ "a1", "b1" }));
}

// Fails if a steady stream of urgent requests starves the least urgent class,
// also when the urgent ones find places on arrival.
TEST(AdmissionQueue, OnePlaceInTenGoesToTheLeastUrgent)
{
  Add("low", 2);
  for (int i = 0; i < 9; ++i) {
    CHECK(!mQueue.MustQueue(0));
    mQueue.RecordPlaced();
  }

  CHECK(mQueue.MustQueue(0));
  Add("urgent", 0);
  Serve(1);

  CHECK(mPlaced == std::vector<std::string>{ "low" });
}

// Fails if a request that cannot use the free endpoint holds up the others.
TEST(AdmissionQueue, ARetryDoesNotHoldUpOthers)
{
  Add("retry", 0, "w", true);
  Add("other", 1);

  Serve(1);

  CHECK(mPlaced == std::vector<std::string>{ "other" });
  CHECK_EQUAL(1u, mQueue.Size());
}

// Fails if an arriving request overtakes one of its class.
TEST(AdmissionQueue, ArrivalsQueueBehindTheirClassOnly)
{
  const uint64_t id = Add("waiting", 1);

  CHECK(mQueue.MustQueue(1));
  CHECK(mQueue.MustQueue(2));
  CHECK(!mQueue.MustQueue(0));
  mQueue.Remove(id);
  CHECK(!mQueue.MustQueue(2));
}

// Fails if requests behind the front wait longer than they may.
TEST(AdmissionQueue, ExpiredRequestsAreRefusedWhereverTheyWait)
{
  Add("long", 3);
  Add("short", 0);

  mQueue.RefuseExpired(global::TimePoint(std::chrono::seconds(2)));

  CHECK(mRefused == std::vector<std::string>{ "short" });
  CHECK_EQUAL(1u, mQueue.Size());
}

// Fails if reserved places can keep the least urgent class from the place that
// is due to it.
TEST(AdmissionQueue, TheTenthPlaceIsDueToTheLeastUrgentClass)
{
  Add("low", 3);
  for (int i = 0; i < 8; ++i) {
    mQueue.RecordPlaced();
  }
  CHECK_FALSE(mQueue.IsDue(3));

  mQueue.RecordPlaced();

  CHECK(mQueue.IsDue(3));
  CHECK_FALSE(mQueue.IsDue(0));
}
