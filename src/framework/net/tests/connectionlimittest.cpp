#include "framework/net/connectionlimit.h"
#include "framework/net/httpcall.h"
#include "framework/net/tests/loopbackpeer.h"

#include <CppUTest/TestHarness.h>
#include <QCoreApplication>
#include <QDeadlineTimer>
#include <optional>

using namespace beryllever;

namespace {

constexpr std::chrono::milliseconds kTimeout{ 5000 };
constexpr std::chrono::milliseconds kShortTimeout{ 300 };

}

/** Calls to a server that takes connections and never answers. */
TEST_GROUP(ConnectionLimit)
{
  net::tests::LoopbackPeer mServer;
  net::ConnectionLimit mLimit{ 1 };
  std::vector<net::HttpOutcome> mOutcomes;

  std::unique_ptr<net::HttpCall> Call(std::chrono::milliseconds aTimeout)
  {
    const QString url =
      QStringLiteral("http://127.0.0.1:%1/").arg(mServer.Port());
    auto call = std::make_unique<net::HttpCall>(
      net::HttpCallRequest{ .mUrl = QUrl(url) }, aTimeout, &mLimit);
    call->SetOnEnd([this](const net::HttpOutcome& aOutcome) {
      mOutcomes.push_back(aOutcome);
    });
    return call;
  }

  void AwaitOutcomes(size_t aCount)
  {
    const QDeadlineTimer deadline(kTimeout);
    while (mOutcomes.size() < aCount && !deadline.hasExpired()) {
      QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
    }
    CHECK_EQUAL(aCount, mOutcomes.size());
  }
};

TEST(ConnectionLimit, ACallThatTimesOutWhileItWaitsIsNotSent)
{
  const auto first = Call(kTimeout);
  const auto waiting = Call(kShortTimeout);

  AwaitOutcomes(1);

  CHECK(mOutcomes[0].mIsTimedOut);
  CHECK_FALSE(mOutcomes[0].mIsSent);
}

TEST(ConnectionLimit, AWaitingCallIsSentOnceAnotherHasEnded)
{
  const auto first = Call(kShortTimeout);
  const auto waiting = Call(4 * kShortTimeout);

  AwaitOutcomes(2);

  CHECK(mOutcomes[0].mIsSent);
  CHECK(mOutcomes[1].mIsSent);
}

TEST(ConnectionLimit, AWaitingCallIsSentOnceAnotherIsCancelled)
{
  auto first = Call(kTimeout);
  const auto waiting = Call(4 * kShortTimeout);
  first.reset();

  AwaitOutcomes(1);

  CHECK(mOutcomes[0].mIsSent);
}

TEST(ConnectionLimit, ACancelledCallDoesNotKeepItsPlaceInTheQueue)
{
  auto first = Call(kTimeout);
  auto cancelled = Call(kTimeout);
  const auto waiting = Call(4 * kShortTimeout);
  cancelled.reset();
  first.reset();

  AwaitOutcomes(1);

  CHECK(mOutcomes[0].mIsSent);
}
