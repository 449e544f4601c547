#include "standins.h"

#include <CLI/CLI.hpp>
#include <QCoreApplication>
#include <iostream>

using namespace beryllever;

namespace beryllever::standins {

void
ReplyJson(net::HttpExchange* aExchange,
          int aStatus,
          const Json& aJson,
          const net::Headers& aHeaders)
{
  net::Headers headers = aHeaders;
  headers.emplaceBack("Content-Type", "application/json");
  aExchange->Reply(aStatus, headers, QByteArray::fromStdString(aJson.dump()));
}

Json
BodyOf(const net::HttpExchange* aExchange)
{
  return Json::parse(aExchange->Request().mBody.toStdString(), nullptr, false);
}

std::string
Describe(const net::HttpExchange* aExchange)
{
  const net::HttpRequest& request = aExchange->Request();
  std::string text =
    request.mMethod.toStdString() + " " + request.mPath.toStdString() + "\n";
  for (const char* name : { "x-workspace",
                            "x-priority",
                            "x-request-id",
                            "last-event-id",
                            "traceparent" }) {
    if (const QByteArray value = request.Header(name); !value.isEmpty()) {
      text += std::string(name) + ": " + value.toStdString() + "\n";
    }
  }
  return text + request.mBody.toStdString();
}

}

int
main(int aCount, char** aArguments)
{
  CLI::App options{ "Stand-ins for tests and the demo" };
  options.require_subcommand(1);
  int port = 0;
  int bears = 8;
  int cold = 1;
  int tokenMilliseconds = 5;
  std::vector<int> peers;
  options.add_option("--port", port)->required();
  options.fallthrough();
  options.add_subcommand("platform");
  options.add_subcommand("service");
  options.add_subcommand("collector");
  CLI::App* engine = options.add_subcommand("engine");
  engine->add_option("--bears", bears);
  engine->add_option("--cold", cold);
  engine->add_option("--token-ms", tokenMilliseconds);
  engine->add_option("--peers", peers)->delimiter(',');
  CLI11_PARSE(options, aCount, aArguments);

  QCoreApplication application(aCount, aArguments);
  std::unique_ptr<standins::IStandin> standin;
  if (options.got_subcommand("platform")) {
    standin = std::make_unique<standins::PlatformStandin>();
  } else if (options.got_subcommand("service")) {
    standin = std::make_unique<standins::ServiceStandin>();
  } else if (options.got_subcommand("collector")) {
    standin = std::make_unique<standins::CollectorStandin>();
  } else {
    standin = std::make_unique<standins::EngineStandin>(
      bears,
      cold,
      tokenMilliseconds,
      port,
      QList<int>(peers.begin(), peers.end()));
  }
  const global::SteadyClock clock;
  net::HttpServer server(
    { .mBodyBytes = 64 * 1024 * 1024 },
    clock,
    [&](net::HttpExchange* aExchange) { standin->Handle(aExchange); });
  if (!server.Listen(QHostAddress::LocalHost, static_cast<quint16>(port))) {
    std::cerr << "port " << port << " is taken" << std::endl;
    return 1;
  }
  return QCoreApplication::exec();
}
