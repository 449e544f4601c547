#include "framework/global/errors.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever::global;

TEST_GROUP(Errors){};

TEST(Errors, TableIsInTheOrderOfTheKinds)
{
  for (size_t i = 0; i < AllAnswers().size(); ++i) {
    CHECK_EQUAL(i, static_cast<size_t>(AllAnswers()[i].mKind));
  }
}

TEST(Errors, NamesLeadBackToTheirKind)
{
  for (const Answer& answer : AllAnswers()) {
    CHECK(KindNamed(answer.mName) == answer.mKind);
  }
}

TEST(Errors, ResolveHandsTheErrorToTheHandler)
{
  const auto failing = []() -> Result<int> {
    return Fail(ErrorKind::Overloaded, "full");
  };

  const int status = Resolve(failing, [](const Error& aError) {
    return AnswerFor(aError.mKind).mHttpStatus;
  });

  CHECK_EQUAL(429, status);
}
