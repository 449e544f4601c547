#include "standins.h"

#include "framework/global/identifiers.h"

namespace beryllever::standins {

ServiceStandin::ServiceStandin()
  : mIncarnation(global::RandomHex(4))
{
}

void
ServiceStandin::Handle(net::HttpExchange* aExchange)
{
  const QByteArray path = aExchange->Request().mPath;
  if (path.startsWith("/v1/calls/")) {
    Call(aExchange);
  } else if (path == "/health") {
    ReplyJson(
      aExchange, 200, { { "incarnation", mIncarnation }, { "ready", true } });
  } else if (path == "/standin/requests") {
    ReplyJson(aExchange, 200, mRequests);
  } else if (path == "/standin/mode") {
    const Json body = BodyOf(aExchange);
    mDelayMilliseconds = body.value("delayMilliseconds", mDelayMilliseconds);
    mLosesAnswers = body.value("losesAnswers", mLosesAnswers);
    mCutsAnswers = body.value("cutsAnswers", mCutsAnswers);
    ReplyJson(aExchange, 200, {});
  } else {
    ReplyJson(aExchange, 200, mExecutions);
  }
}

void
ServiceStandin::Call(net::HttpExchange* aExchange)
{
  const Json body = BodyOf(aExchange);
  const std::string id = body.is_object() ? body.value("id", "none") : "none";
  mRequests.push_back(Describe(aExchange));
  const int count = ++mExecutions[id];
  const bool losesAnswer = mLosesAnswers;
  if (mCutsAnswers) {
    aExchange->BeginStream(200, { { "Content-Type", "application/json" } });
    aExchange->WriteChunk("{\"id\":");
    QTimer::singleShot(20, aExchange, [aExchange] { aExchange->Abort(); });
    return;
  }
  QTimer::singleShot(
    mDelayMilliseconds, aExchange, [aExchange, id, count, losesAnswer] {
      if (losesAnswer) {
        aExchange->Abort();
        return;
      }
      ReplyJson(aExchange, 200, { { "id", id }, { "execution", count } });
    });
}

}
