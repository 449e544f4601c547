#include "gateway/answerdurations.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever::gateway;
using std::chrono::milliseconds;

TEST_GROUP(AnswerDurations)
{
  AnswerDurations mDurations;

  void Record(size_t aCount, milliseconds aDuration)
  {
    for (size_t i = 0; i < aCount; ++i) {
      mDurations.Record("route", aDuration);
    }
  }
};

TEST(AnswerDurations, TooFewAnswersTellNothing)
{
  Record(AnswerDurations::kMinAnswers - 1, milliseconds(100));

  CHECK_FALSE(mDurations.UsualLongest("route").has_value());
}

TEST(AnswerDurations, OneLongAnswerInTwentyIsNotUsual)
{
  Record(1, milliseconds(5000));
  Record(19, milliseconds(100));

  CHECK(milliseconds(100) == mDurations.UsualLongest("route"));
}

TEST(AnswerDurations, TwoLongAnswersInTwentyAreUsual)
{
  Record(2, milliseconds(5000));
  Record(18, milliseconds(100));

  CHECK(milliseconds(5000) == mDurations.UsualLongest("route"));
}

TEST(AnswerDurations, OldAnswersAreReplaced)
{
  Record(AnswerDurations::kMaxAnswers, milliseconds(5000));
  Record(AnswerDurations::kMaxAnswers, milliseconds(100));

  CHECK(milliseconds(100) == mDurations.UsualLongest("route"));
}

TEST(AnswerDurations, RoutesThatAreGoneAreForgotten)
{
  Record(AnswerDurations::kMinAnswers, milliseconds(100));

  mDurations.KeepOnly({ "other" });

  CHECK_FALSE(mDurations.UsualLongest("route").has_value());
}
