#include "gateway/stopschedule.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever;
using namespace beryllever::gateway;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kGraceTime{ 8000 };
/** The platform excuses requests that were sent up to so long after a SIGTERM
 * and are still at work when the grace time ends. */
constexpr milliseconds kMaxExcused{ 3000 };

}

TEST_GROUP(StopSchedule)
{
  const global::TimePoint mNow{ std::chrono::hours(1) };
};

/** Guards against requests that are taken later than the platform excuses,
 * because callers use their addresses for long. */
TEST(StopSchedule, LongUsedAddressesDoNotStretchTheAcceptTime)
{
  const StopSchedule schedule = PlanStop(mNow, kGraceTime, milliseconds(5000));

  CHECK(schedule.mAcceptDeadline < mNow + kMaxExcused);
}

TEST(StopSchedule, CallersWithAnAddressAreServedUntilItExpires)
{
  const StopSchedule schedule = PlanStop(mNow, kGraceTime, milliseconds(2000));

  CHECK(schedule.mAcceptDeadline >= mNow + milliseconds(2500));
}

TEST(StopSchedule, ARequestIsTakenLateOnlyIfItsDeadlineIsWithinTheStop)
{
  const StopSchedule schedule = PlanStop(mNow, kGraceTime, milliseconds(2000));

  const auto late = schedule.mEnd + milliseconds(1);
  const auto accept = schedule.mAcceptDeadline;

  CHECK(schedule.MayTake(true, accept, late));
  CHECK(schedule.MayTake(false, accept, schedule.mEnd));
  CHECK_FALSE(schedule.MayTake(false, accept, late));
}

/** Guards against requests that a process short of processor time takes, as it
 * has not come to close its listener. */
TEST(StopSchedule, AListenerThatIsClosedLateBringsNoLongRequest)
{
  const StopSchedule schedule = PlanStop(mNow, kGraceTime, milliseconds(2000));

  CHECK_FALSE(schedule.MayTake(
    true, mNow + kMaxExcused, schedule.mEnd + milliseconds(1)));
}

/** Guards against a process that is killed at the end of the grace time, since
 * the end of its peers' server and of its log takes longer than is left. */
TEST(StopSchedule, TheRestOfTheProcessHasTimeToEnd)
{
  // The next look at whether the process is idle, the server, the log.
  constexpr milliseconds kRest{ 50 + 250 + 50 };

  const StopSchedule schedule = PlanStop(mNow, kGraceTime, milliseconds(2000));

  CHECK(schedule.mEnd + kRest <= mNow + kGraceTime);
}
