#include "rankagent/internal/peerengines.h"

#include <CppUTest/TestHarness.h>
#include <QCoreApplication>
#include <QDeadlineTimer>
#include <QTcpServer>
#include <QTcpSocket>

using namespace beryllever;
using namespace beryllever::rankagent;
using std::chrono::milliseconds;

namespace {

constexpr uint32_t kRank = 3;
constexpr milliseconds kWaitTimeout{ 5000 };

class EmptyCodec : public IEngineCodec
{
public:
  std::string StateTarget() const override { return "/state"; }
  std::string CountsTarget() const override { return "/counts"; }
  std::string PlacementTarget() const override { return "/placement"; }
  std::string OrderTarget() const override { return "/order"; }
  std::optional<RankState> ParseState(const std::string&) const override
  {
    return RankState{};
  }
  std::optional<ExpertCounts> ParseCounts(const std::string&) const override
  {
    return std::nullopt;
  }
  std::optional<RankPlacement> ParsePlacement(const std::string&) const override
  {
    return std::nullopt;
  }
  std::string SerializeOrder(const RankOrder&) const override { return "{}"; }
};

/** Engine that answers each request at once, or none. */
class LocalEngine
{
public:
  explicit LocalEngine(bool aAnswers)
  {
    mServer.listen(QHostAddress::LocalHost);
    QObject::connect(
      &mServer, &QTcpServer::newConnection, &mServer, [this, aAnswers] {
        QTcpSocket* const socket = mServer.nextPendingConnection();
        if (aAnswers) {
          QObject::connect(socket, &QTcpSocket::readyRead, socket, [socket] {
            socket->readAll();
            socket->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
          });
        }
      });
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mServer.serverPort());
  }

private:
  QTcpServer mServer;
};

template<typename Condition>
bool
ProcessEventsUntil(Condition aCondition)
{
  const QDeadlineTimer deadline(kWaitTimeout);
  while (!aCondition() && !deadline.hasExpired()) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
  }
  return aCondition();
}

}

TEST_GROUP(PeerEngines)
{
  global::SteadyClock mClock;
  EmptyCodec mCodec;
  LocalEngine mAnswering{ true };
  LocalEngine mSilent{ false };
  PeerEngines mEngines{ mClock, mCodec };
  int mReads = 0;

  void ReadAgain(int aReads)
  {
    mEngines.Sample(kRank, SampleDepth::State, [this, aReads](const auto&) {
      if (++mReads < aReads) {
        ReadAgain(aReads);
      }
    });
  }
};

TEST(PeerEngines, MarksWhatItReadsAsLagging)
{
  std::optional<RankSample> read;
  mEngines.SetEngineAddress(kRank, mAnswering.Address());

  mEngines.Sample(kRank, SampleDepth::State, [&](auto aSample) {
    read = std::move(aSample);
  });

  CHECK(ProcessEventsUntil([&] { return read.has_value(); }));
  CHECK(read->mState.mMayLag);
}

TEST(PeerEngines, TellsTheOutcomeOfAnOrderToAnEngineThatWasReplaced)
{
  int outcomes = 0;
  mEngines.SetEngineAddress(kRank, mSilent.Address());
  mEngines.Order(kRank, {}, [&](OrderOutcome aOutcome) {
    CHECK(aOutcome == OrderOutcome::Unknown);
    ++outcomes;
  });

  mEngines.SetEngineAddress(kRank, mAnswering.Address());
  mEngines.Order(kRank, {}, [&](OrderOutcome aOutcome) {
    CHECK(aOutcome == OrderOutcome::Accepted);
    ++outcomes;
  });

  CHECK(ProcessEventsUntil([&] { return outcomes == 2; }));
}

TEST(PeerEngines, TheReadsOfAChangeLastLongerThanAReportLags)
{
  constexpr int kReadsOfAChange = 12;
  constexpr milliseconds kLag{ 300 };
  mEngines.SetEngineAddress(kRank, mAnswering.Address());
  const auto begin = mClock.Now();

  ReadAgain(kReadsOfAChange);

  CHECK(ProcessEventsUntil([&] { return mReads == kReadsOfAChange; }));
  CHECK(mClock.Now() - begin > kLag);
}
