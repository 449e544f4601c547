#include "standins.h"

#include "framework/global/identifiers.h"
#include "framework/net/httpcall.h"

namespace beryllever::standins {

namespace {

constexpr int kDefaultTokens = 8;
constexpr std::chrono::milliseconds kReportLag{ 400 };
constexpr int kServedUntilWarm = 12;
/** An engine that warms up bears one request more after each such time. */
constexpr std::chrono::milliseconds kWarmStepTime{ 150 };
constexpr std::chrono::milliseconds kStepTime{ 10 };
/** Time for loading a map from the weight store. */
constexpr std::chrono::milliseconds kLoadTime{ 200 };
constexpr size_t kMaxUnreadBytes = 128 * 1024;

std::string
Event(int aToken, int aTokenBytes)
{
  std::string content = "t" + std::to_string(aToken) + " ";
  content.resize(
    std::max<size_t>(content.size(), static_cast<size_t>(aTokenBytes)), '.');
  const Json delta{
    { "choices", Json::array({ { { "delta", { { "content", content } } } } }) }
  };
  return "data: " + delta.dump() + "\n\n";
}

}

struct EngineStandin::Generation
{
  net::HttpExchange* mExchange = nullptr;
  std::string mRequestId;
  int mTokens = 0;
  int mTokenBytes = 0;
  int mToken = 0;
  /** Bytes before this offset are not sent. */
  uint64_t mSkip = 0;
  uint64_t mOffset = 0;
  bool mIsStreamed = false;
  bool mIsOver = false;
};

EngineStandin::EngineStandin(int aBears,
                             int aColdBears,
                             int aTokenMilliseconds,
                             int aPort,
                             QList<int> aPeers)
  : mBears(aBears)
  , mColdBears(aColdBears)
  , mTokenMilliseconds(aTokenMilliseconds)
  , mIncarnation(global::RandomHex(4))
  , mPeers(std::move(aPeers))
  , mPort(aPort)
{
  if (!mPeers.isEmpty()) {
    QObject::connect(&mTimer, &QTimer::timeout, &mTimer, [this] { Arrive(); });
    mTimer.start(kStepTime);
  }
}

uint64_t
EngineStandin::MapAt(uint64_t aStep) const
{
  for (const Json& segment : mSchedule) {
    if (aStep >= segment["first"] && aStep < segment["end"]) {
      return segment["map"];
    }
  }
  return 0;
}

void
EngineStandin::Arrive()
{
  // A rank reaches a step when it knows the step's map; it says so again in
  // case that it was not heard.
  if (MapAt(mStep) == 0) {
    return;
  }
  const QByteArray body = QByteArray::fromStdString(
    Json{ { "port", mPort }, { "step", mStep + 1 } }.dump());
  for (const int peer : mPeers) {
    net::Fetch(
      mContext,
      { .mMethod = "PUT",
        .mUrl =
          QUrl(QStringLiteral("http://127.0.0.1:%1/standin/step").arg(peer)),
        .mBody = body },
      std::chrono::seconds(1),
      [](const net::HttpOutcome&, const net::HttpAnswer&) {});
  }
  TryStep();
}

void
EngineStandin::TryStep()
{
  for (const int peer : mPeers) {
    if (mReached[peer] <= mStep) {
      return;
    }
  }
  if (const uint64_t map = MapAt(mStep); map != 0) {
    mHistory.push_back(map);
    ++mStep;
  }
}

int
EngineStandin::Bears() const
{
  const int steps = mBears - mColdBears;
  const int byServed =
    steps * std::min(mServed, kServedUntilWarm) / kServedUntilWarm;
  const auto byTime =
    static_cast<int>((mClock.Now() - mColdSince) / kWarmStepTime);
  return mColdBears + std::min(byServed, byTime);
}

void
EngineStandin::Handle(net::HttpExchange* aExchange)
{
  const net::HttpRequest& request = aExchange->Request();
  if (request.mPath == "/v1/chat/completions") {
    Chat(aExchange);
  } else if (request.mPath == "/health") {
    ReplyJson(aExchange,
              200,
              { { "incarnation", mIncarnation },
                { "ready", true },
                { "cacheEntries", mServed * 4 },
                { "running", mRunning } });
  } else if (request.mPath.startsWith("/v1/requests/") &&
             request.mMethod == "DELETE") {
    const auto generation =
      mByRequest[request.mPath.mid(13).toStdString()].lock();
    if (generation && !generation->mIsOver) {
      ++mCancelled;
      End(generation);
    }
    ReplyJson(aExchange, 200, {});
  } else if (request.mPath == "/v1/expert-map/schedule") {
    Schedule(aExchange);
  } else {
    Control(aExchange);
  }
}

void
EngineStandin::Chat(net::HttpExchange* aExchange)
{
  if (mIsNonsense) {
    aExchange->Reply(
      200, { { "Content-Type", "text/html" } }, "<html>nonsense");
    return;
  }
  ++mArrivals;
  mRequests.push_back(Describe(aExchange));
  if (mRunning >= Bears() && mClock.Now() >= mGraceDeadline) {
    ++mOverloads;
  }
  const Json body = BodyOf(aExchange);
  auto generation = std::make_shared<Generation>();
  generation->mExchange = aExchange;
  generation->mRequestId =
    aExchange->Request().Header("x-request-id").toStdString();
  generation->mTokens = body.value("max_tokens", kDefaultTokens);
  generation->mTokenBytes = body.value("token_bytes", 0);
  generation->mIsStreamed = body.value("stream", false);
  generation->mSkip =
    aExchange->Request().Header("last-event-id").toULongLong();
  mResumed += generation->mSkip > 0;
  mMostRunning = std::max(mMostRunning, ++mRunning);
  mByRequest[generation->mRequestId] = generation;
  aExchange->SetOnGone([this, generation] {
    generation->mExchange = nullptr;
    mCancelled += !generation->mIsOver;
    End(generation);
  });
  if (generation->mIsStreamed) {
    aExchange->BeginStream(200, { { "Content-Type", "text/event-stream" } });
  }
  Step(generation);
}

void
EngineStandin::Step(const std::shared_ptr<Generation>& aGeneration)
{
  if (aGeneration->mIsOver) {
    return;
  }
  if (aGeneration->mIsStreamed && aGeneration->mExchange->PendingBytes() >
                                    static_cast<qint64>(kMaxUnreadBytes)) {
    QTimer::singleShot(
      20, &mContext, [this, aGeneration] { Step(aGeneration); });
    return;
  }
  const bool isLast = aGeneration->mToken >= aGeneration->mTokens;
  if (aGeneration->mIsStreamed) {
    const std::string event =
      isLast ? "data: [DONE]\n\n"
             : Event(aGeneration->mToken, aGeneration->mTokenBytes);
    const uint64_t start = aGeneration->mOffset;
    aGeneration->mOffset += event.size();
    if (aGeneration->mOffset > aGeneration->mSkip) {
      const uint64_t skip =
        aGeneration->mSkip > start ? aGeneration->mSkip - start : 0;
      aGeneration->mExchange->WriteChunk(
        QByteArray::fromStdString(event.substr(skip)));
    }
  }
  if (isLast) {
    ++mServed;
    net::HttpExchange* exchange =
      std::exchange(aGeneration->mExchange, nullptr);
    End(aGeneration);
    if (aGeneration->mIsStreamed) {
      exchange->EndStream();
    } else {
      ReplyJson(
        exchange,
        200,
        { { "choices",
            Json::array({ { { "message", { { "content", "whole" } } } } }) } });
    }
    return;
  }
  ++aGeneration->mToken;
  const bool isSkipping = aGeneration->mOffset < aGeneration->mSkip;
  QTimer::singleShot(isSkipping ? 0 : mTokenMilliseconds,
                     &mContext,
                     [this, aGeneration] { Step(aGeneration); });
}

void
EngineStandin::End(const std::shared_ptr<Generation>& aGeneration)
{
  if (aGeneration->mIsOver) {
    return;
  }
  aGeneration->mIsOver = true;
  --mRunning;
  if (aGeneration->mExchange) {
    aGeneration->mExchange->Abort();
  }
}

void
EngineStandin::Schedule(net::HttpExchange* aExchange)
{
  const bool isOrder = aExchange->Request().mMethod == "PUT";
  const uint64_t fence =
    aExchange->Request().Header("x-fencing-number").toULongLong();
  if (isOrder && mChecksFence && fence < mFence) {
    ReplyJson(aExchange, 409, { { "error", "old fencing number" } });
    return;
  }
  if (isOrder) {
    mFence = std::max(mFence, fence);
    mSchedule = BodyOf(aExchange)["schedule"];
  }
  ReplyJson(aExchange,
            200,
            { { "schedule", mSchedule },
              { "step", mStep },
              { "prepared", mPrepared },
              { "fence", mFence } });
}

void
EngineStandin::Control(net::HttpExchange* aExchange)
{
  const QByteArray path = aExchange->Request().mPath;
  const Json body = BodyOf(aExchange);
  if (path == "/v1/expert-map/prepare") {
    QTimer::singleShot(
      kLoadTime, &mContext, [this, map = body["map"].get<uint64_t>()] {
        mPrepared = map;
      });
  } else if (path == "/standin/step") {
    uint64_t& reached = mReached[body["port"]];
    reached = std::max(reached, body["step"].get<uint64_t>());
  } else if (path == "/standin/requests") {
    ReplyJson(aExchange, 200, mRequests);
    return;
  } else if (path == "/standin/history") {
    ReplyJson(aExchange, 200, mHistory);
    return;
  } else if (path == "/standin/cold") {
    mServed = 0;
    mColdSince = mClock.Now();
    mGraceDeadline = mClock.Now() + kReportLag;
  } else if (path == "/standin/mode") {
    mIsNonsense = body.value("nonsense", mIsNonsense);
    mTokenMilliseconds = body.value("tokenMilliseconds", mTokenMilliseconds);
    mChecksFence = body.value("checksFence", mChecksFence);
  }
  ReplyJson(aExchange,
            200,
            { { "served", mServed },
              { "running", mRunning },
              { "mostRunning", mMostRunning },
              { "overloads", mOverloads },
              { "arrivals", mArrivals },
              { "cancelled", mCancelled },
              { "resumed", mResumed } });
}

}
