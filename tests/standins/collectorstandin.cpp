#include "standins.h"

namespace beryllever::standins {

namespace {

constexpr char kQueryPath[] = "/api/traces/";

int64_t
Microseconds(const Json& aNanoseconds)
{
  return std::stoll(aNanoseconds.get<std::string>()) / 1000;
}

Json
ToJaeger(const Json& aSpan, const std::string& aProcess)
{
  Json tags = Json::array();
  for (const Json& attribute : aSpan["attributes"]) {
    tags.push_back({ { "key", attribute["key"] },
                     { "value", attribute["value"]["stringValue"] } });
  }
  const int64_t start = Microseconds(aSpan["startTimeUnixNano"]);
  return { { "spanID", aSpan["spanId"] },
           { "parentSpanID", aSpan["parentSpanId"] },
           { "operationName", aSpan["name"] },
           { "startTime", start },
           { "duration", Microseconds(aSpan["endTimeUnixNano"]) - start },
           { "processID", aProcess },
           { "tags", tags } };
}

}

void
CollectorStandin::Handle(net::HttpExchange* aExchange)
{
  const QByteArray path = aExchange->Request().mPath;
  if (path == "/v1/traces") {
    Take(BodyOf(aExchange));
    ReplyJson(aExchange, 200, {});
  } else {
    ReplyJson(
      aExchange, 200, Query(path.mid(sizeof(kQueryPath) - 1).toStdString()));
  }
}

void
CollectorStandin::Take(const Json& aRequest)
{
  for (const Json& resource : aRequest["resourceSpans"]) {
    const std::string process =
      resource["resource"]["attributes"][0]["value"]["stringValue"];
    for (const Json& span : resource["scopeSpans"][0]["spans"]) {
      mSpans[span["traceId"]].push_back(ToJaeger(span, process));
    }
  }
}

Json
CollectorStandin::Query(const std::string& aTraceId) const
{
  const auto it = mSpans.find(aTraceId);
  if (it == mSpans.end()) {
    return { { "data", Json::array() } };
  }
  Json processes = Json::object();
  for (const Json& span : it->second) {
    processes[span["processID"].get<std::string>()] = { { "serviceName",
                                                          span["processID"] } };
  }
  return { { "data",
             Json::array({ { { "traceID", aTraceId },
                             { "spans", it->second },
                             { "processes", processes } } }) } };
}

}
