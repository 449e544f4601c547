#include "operations/operatorpages.h"

namespace beryllever::operations {

using settings::Json;

namespace {

constexpr int kMaxConnections = 64;

void
ReplyJson(net::HttpExchange* aExchange, int aStatus, const Json& aJson)
{
  aExchange->Reply(aStatus,
                   { { "Content-Type", "application/json" } },
                   QByteArray::fromStdString(aJson.dump(2) + "\n"));
}

}

OperatorPages::OperatorPages(const global::IClock& aClock,
                             metrics::Metrics& aMetrics)
  : mMetrics(aMetrics)
  , mServer({ .mConnections = kMaxConnections },
            aClock,
            [this](net::HttpExchange* aExchange) { Handle(aExchange); })
{
}

bool
OperatorPages::Listen(const std::string& aHost, uint16_t aPort)
{
  return mServer.Listen(QHostAddress(QString::fromStdString(aHost)), aPort);
}

void
OperatorPages::AddPage(const std::string& aPath, Page aPage)
{
  mPages[aPath] = std::move(aPage);
}

void
OperatorPages::AddStatusSection(const std::string& aName,
                                std::function<Json()> aSection)
{
  mStatusSections.emplace_back(aName, std::move(aSection));
}

void
OperatorPages::AddReadinessCheck(std::function<std::string()> aCheck)
{
  mReadinessChecks.push_back(std::move(aCheck));
}

void
OperatorPages::Handle(net::HttpExchange* aExchange)
{
  const std::string path = aExchange->Request().mPath.toStdString();
  if (path == "/healthz") {
    aExchange->Reply(200, { { "Content-Type", "text/plain" } }, "alive\n");
  } else if (path == "/readyz") {
    ReplyReadiness(aExchange);
  } else if (path == "/metrics") {
    aExchange->Reply(200,
                     { { "Content-Type", "text/plain; version=0.0.4" } },
                     QByteArray::fromStdString(mMetrics.Text()));
  } else if (path == "/status") {
    ReplyStatus(aExchange);
  } else if (const auto it = mPages.find(path); it != mPages.end()) {
    ReplyJson(aExchange, 200, it->second(aExchange->Request().mQuery));
  } else {
    ReplyJson(aExchange, 404, { { "error", "no such page" } });
  }
}

void
OperatorPages::ReplyReadiness(net::HttpExchange* aExchange) const
{
  for (const auto& check : mReadinessChecks) {
    if (const std::string reason = check(); !reason.empty()) {
      aExchange->Reply(503,
                       { { "Content-Type", "text/plain" } },
                       QByteArray::fromStdString(reason + "\n"));
      return;
    }
  }
  aExchange->Reply(200, { { "Content-Type", "text/plain" } }, "ready\n");
}

void
OperatorPages::ReplyStatus(net::HttpExchange* aExchange) const
{
  Json status = Json::object();
  for (const auto& [name, section] : mStatusSections) {
    status[name] = section();
  }
  ReplyJson(aExchange, 200, status);
}

}
