#include "credits/endpointcapacity.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever;
using namespace std::chrono_literals;

TEST_GROUP(EndpointCapacity)
{
  global::ManualClock clock;
  credits::EndpointCapacity capacity{ clock, { .mCold = 1, .mWarm = 16 } };

  void WarmUp()
  {
    capacity.HandleReport({ "one", 100, true });
    for (int i = 0; i < 1000; ++i) {
      clock.Advance(20ms);
      capacity.HandleCompletion(10ms);
    }
  }
};

TEST(EndpointCapacity, IsZeroBeforeTheFirstReport)
{
  CHECK_EQUAL(0, capacity.ConcurrencyLimit());
}

TEST(EndpointCapacity, StartsColdAndGrowsByOneInThreeRoundsAtALimitedRate)
{
  capacity.HandleReport({ "one", -1, true });
  CHECK_EQUAL(1, capacity.ConcurrencyLimit());

  for (int i = 0; i < 3; ++i) {
    capacity.HandleCompletion(10ms);
  }
  CHECK_EQUAL(1, capacity.ConcurrencyLimit());

  clock.Advance(200ms);
  capacity.HandleCompletion(10ms);
  CHECK_EQUAL(2, capacity.ConcurrencyLimit());

  WarmUp();
  CHECK_EQUAL(16, capacity.ConcurrencyLimit());
}

TEST(EndpointCapacity, IsColdAfterARestartOfTheBackEnd)
{
  WarmUp();

  capacity.HandleReport({ "two", 100, true });

  CHECK_EQUAL(1, capacity.ConcurrencyLimit());
}

TEST(EndpointCapacity, IsColdAfterLossOfTheCache)
{
  WarmUp();

  capacity.HandleReport({ "one", 3, true });

  CHECK_EQUAL(1, capacity.ConcurrencyLimit());
}

TEST(EndpointCapacity, SlowResponsesHalveItOncePerInterval)
{
  WarmUp();

  for (int i = 0; i < 9; ++i) {
    capacity.HandleCompletion(100ms);
  }
  CHECK_EQUAL(8, capacity.ConcurrencyLimit());

  clock.Advance(1s);
  for (int i = 0; i < 3; ++i) {
    capacity.HandleCompletion(100ms);
  }
  CHECK_EQUAL(4, capacity.ConcurrencyLimit());
}

TEST(EndpointCapacity, IsZeroBetweenALostConnectionAndTheNextReport)
{
  WarmUp();

  capacity.HandleConnectionLoss();
  CHECK_EQUAL(0, capacity.ConcurrencyLimit());

  capacity.HandleReport({ "one", 100, true });
  CHECK_EQUAL(8, capacity.ConcurrencyLimit());
  capacity.HandleConnectionLoss();
  capacity.HandleReport({ "two", 0, true });
  CHECK_EQUAL(1, capacity.ConcurrencyLimit());
}

TEST(EndpointCapacity, IsZeroAfterAReportTimeout)
{
  WarmUp();

  capacity.HandleReportTimeout();
  CHECK_EQUAL(0, capacity.ConcurrencyLimit());

  capacity.HandleReport({ "one", 100, true });
  CHECK_EQUAL(1, capacity.ConcurrencyLimit());
}
