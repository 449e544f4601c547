#include "gateway/answerdurations.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever;
using namespace beryllever::gateway;
using std::chrono::milliseconds;

TEST_GROUP(AnswerDurations)
{
  const global::TimePoint mNow{ std::chrono::hours(1) };
  AnswerDurations mDurations;

  void Answer(size_t aCount, milliseconds aDuration)
  {
    for (size_t i = 0; i < aCount; ++i) {
      mDurations.Begin("route", mNow - aDuration);
      mDurations.End("route", mNow - aDuration, aDuration);
    }
  }

  void Open(size_t aCount, milliseconds aAge)
  {
    for (size_t i = 0; i < aCount; ++i) {
      mDurations.Begin("route", mNow - aAge);
    }
  }

  bool HasUsualLongest(std::optional<milliseconds> aExpected) const
  {
    return mDurations.UsualLongest("route", mNow) == aExpected;
  }
};

TEST(AnswerDurations, TooFewRequestsTellNothing)
{
  Answer(AnswerDurations::kMinRequests - 1, milliseconds(100));

  CHECK(HasUsualLongest(std::nullopt));
}

TEST(AnswerDurations, OneLongAnswerInTwentyIsNotUsual)
{
  Answer(1, milliseconds(5000));
  Answer(19, milliseconds(100));

  CHECK(HasUsualLongest(milliseconds(100)));
}

TEST(AnswerDurations, TwoLongAnswersInTwentyAreUsual)
{
  Answer(2, milliseconds(5000));
  Answer(18, milliseconds(100));

  CHECK(HasUsualLongest(milliseconds(5000)));
}

/** Guards against long streams that a process that has just started does not
 * know of, because only short ones have ended. */
TEST(AnswerDurations, OpenRequestsCountWithTheirAge)
{
  Answer(10, milliseconds(100));
  Open(10, milliseconds(3000));

  CHECK(HasUsualLongest(milliseconds(3000)));
}

TEST(AnswerDurations, RequestsThatWereRefusedOrLeftDoNotCount)
{
  Answer(20, milliseconds(100));
  Open(10, milliseconds(3000));

  for (int i = 0; i < 10; ++i) {
    mDurations.End("route", mNow - milliseconds(3000), std::nullopt);
  }

  CHECK(HasUsualLongest(milliseconds(100)));
}

TEST(AnswerDurations, OldAnswersAreReplaced)
{
  Answer(AnswerDurations::kMaxAnswers, milliseconds(5000));
  Answer(AnswerDurations::kMaxAnswers, milliseconds(100));

  CHECK(HasUsualLongest(milliseconds(100)));
}

TEST(AnswerDurations, RoutesThatAreGoneAreForgotten)
{
  Answer(AnswerDurations::kMinRequests, milliseconds(100));

  mDurations.KeepOnly({ "other" });

  CHECK(HasUsualLongest(std::nullopt));
}
