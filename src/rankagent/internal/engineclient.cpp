#include "rankagent/internal/engineclient.h"

#include "framework/log/log.h"

namespace beryllever::rankagent {

namespace {

using std::chrono::milliseconds;

constexpr char kLogTag[] = "engine";
/** The engine is usually on the same machine and answers in a few milliseconds.
 */
constexpr milliseconds kReadTimeout{ 250 };
/** Time after which an order counts as unanswered, so that the leader can retry
 * it. */
constexpr milliseconds kOrderTimeout{ 60 };
constexpr size_t kMaxLoggedBytes = 120;
/** Bound on an answer's body; the counts of the largest groups take about
 * 100 KB. */
constexpr size_t kMaxAnswerBytes = 4 * 1024 * 1024;
constexpr size_t kMaxQueuedCalls = 64;

}

EngineClient::EngineClient(const net::TcpAddress& aEngine,
                           const IEngineCodec& aCodec)
  : mEngine(aEngine)
  , mCodec(aCodec)
{
  mTimeout.setSingleShot(true);
  QObject::connect(
    &mTimeout, &QTimer::timeout, &mTimeout, [this] { Finish(0); });
}

EngineClient::~EngineClient()
{
  if (mConnection) {
    mConnection->Abort();
  }
}

void
EngineClient::ReadState(std::function<void(std::optional<RankState>)> aOnState)
{
  Enqueue("GET " + mCodec.StateTarget() + " HTTP/1.1",
          "",
          kReadTimeout,
          [this, aOnState](unsigned aStatus, const std::string& aBody) {
            aOnState(aStatus == 200 ? mCodec.ParseState(aBody) : std::nullopt);
          });
}

void
EngineClient::ReadCounts(
  std::function<void(std::optional<ExpertCounts>)> aOnCounts)
{
  Enqueue("GET " + mCodec.CountsTarget() + " HTTP/1.1",
          "",
          kReadTimeout,
          [this, aOnCounts](unsigned aStatus, const std::string& aBody) {
            aOnCounts(aStatus == 200 ? mCodec.ParseCounts(aBody)
                                     : std::nullopt);
          });
}

void
EngineClient::ReadPlacement(
  std::function<void(std::optional<RankPlacement>)> aOnPlacement)
{
  Enqueue("GET " + mCodec.PlacementTarget() + " HTTP/1.1",
          "",
          kReadTimeout,
          [this, aOnPlacement](unsigned aStatus, const std::string& aBody) {
            aOnPlacement(aStatus == 200 ? mCodec.ParsePlacement(aBody)
                                        : std::nullopt);
          });
}

void
EngineClient::Order(const RankOrder& aOrder,
                    std::function<void(OrderOutcome)> aOnOutcome)
{
  Enqueue(
    "POST " + mCodec.OrderTarget() + " HTTP/1.1",
    mCodec.SerializeOrder(aOrder),
    kOrderTimeout,
    [this, aOnOutcome, aOrder](unsigned aStatus, const std::string& aBody) {
      RankOrder loggedOrder = aOrder;
      loggedOrder.mMap.clear();
      LOGI("Order. order=" << mCodec.SerializeOrder(loggedOrder)
                           << " status=" << aStatus
                           << " answer=" << aBody.substr(0, kMaxLoggedBytes));
      if (aStatus == 0 || aStatus >= 500) {
        aOnOutcome(OrderOutcome::Unknown);
        return;
      }
      aOnOutcome(aStatus / 100 == 2 ? OrderOutcome::Accepted
                                    : OrderOutcome::Refused);
    });
}

void
EngineClient::Enqueue(const std::string& aStartLine,
                      const std::string& aBody,
                      milliseconds aTimeout,
                      OnAnswer aOnAnswer)
{
  if (mCalls.size() >= kMaxQueuedCalls) {
    LOGW("The queue of calls to the engine is full; the call is dropped.");
    aOnAnswer(0, "");
    return;
  }
  net::http::fields fields;
  fields.set("Host", ToText(mEngine));
  if (!aBody.empty()) {
    fields.set("Content-Type", "application/json");
    fields.set("Content-Length", std::to_string(aBody.size()));
  }
  mCalls.push_back({ net::HeadText(aStartLine, fields) + aBody,
                     aTimeout,
                     std::move(aOnAnswer) });
  StartNext();
}

void
EngineClient::StartNext()
{
  if (mIsBusy || mCalls.empty()) {
    return;
  }
  mIsBusy = true;
  mStatus = 0;
  mBody.clear();
  if (!mConnection || !mConnection->IsReusable()) {
    if (mConnection) {
      mConnection->Abort();
    }
    mConnection = net::HttpClientConnection::Connect(mEngine);
  }
  mTimeout.start(mCalls.front().mTimeout);
  mConnection->Send(
    mCalls.front().mRequest,
    { .mOnHead =
        [this](const net::AnswerHead& aHead) { mStatus = aHead.mStatus; },
      .mOnBody = [this](std::string_view aBytes) { HandleBody(aBytes); },
      .mOnEnd =
        [this](net::AnswerEnd aEnd) {
          Finish(aEnd == net::AnswerEnd::Complete ? mStatus : 0);
        } });
}

void
EngineClient::HandleBody(std::string_view aBytes)
{
  mBody.append(aBytes);
  if (mBody.size() > kMaxAnswerBytes) {
    LOGW("An answer of the engine does not end. engine=" << ToText(mEngine));
    Finish(0);
  }
}

void
EngineClient::Finish(unsigned aStatus)
{
  mTimeout.stop();
  if (aStatus == 0 && mConnection) {
    mConnection->Abort();
    mConnection.reset();
  }
  const Call call = std::move(mCalls.front());
  mCalls.pop_front();
  const std::string body = std::move(mBody);
  mIsBusy = false;
  call.mOnAnswer(aStatus, body);
  StartNext();
}

}
