#include "cli/commands.h"
#include "cli/internal/client.h"
#include "cli/internal/tableprinter.h"

#include <algorithm>
#include <iostream>
#include <map>

namespace beryllever::cli {

using settings::Json;

namespace {

/** Reads a JSON page; an empty value if there is none. */
Json
ReadPage(Client& aClient, const std::string& aUrl)
{
  const ClientAnswer answer = aClient.Get(aUrl);
  const Json json =
    Json::parse(answer.mAnswer.mBody.toStdString(), nullptr, false);
  return answer.mOutcome.mStatus == 200 && !json.is_discarded() ? json : Json();
}

std::string
Text(const Json& aJson, const std::string& aPointer)
{
  const Json::json_pointer pointer(aPointer);
  if (!aJson.is_structured() || !aJson.contains(pointer)) {
    return "-";
  }
  const Json& value = aJson[pointer];
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::vector<std::string>
StatusRow(const std::string& aName, const Json& aStatus)
{
  if (aStatus.is_null()) {
    return { aName, "-", "-", "-", "no answer" };
  }
  const bool isOut =
    aStatus.value("/configuration/isOutOfService"_json_pointer, false);
  const bool isAgent = Text(aStatus, "/process/role") == "agent";
  const std::string load =
    isAgent ? "running " + Text(aStatus, "/agent/running") + " of " +
                Text(aStatus, "/agent/bears")
            : "held bytes " + Text(aStatus, "/memory/heldBytes");
  return { aName,
           Text(aStatus, "/process/role"),
           Text(aStatus, "/process/availabilityZone"),
           Text(aStatus, "/configuration/tablesRevision"),
           isOut ? "out" : "in service",
           load };
}

int
PrintFleet(Client& aClient,
           const std::string& aOperator,
           const CommonOptions& aCommon)
{
  const Json page = ReadPage(aClient, aOperator + "/vms");
  if (page.is_null()) {
    std::cerr << "no answer from " << aOperator << std::endl;
    return kExitFailed;
  }
  Json all = Json::object();
  std::vector<std::vector<std::string>> rows{
    { "vm", "role", "zone", "revision", "service", "load" }
  };
  bool isWhole = true;
  for (const Json& vm : page["vms"]) {
    const std::string name = vm["name"];
    all[name] = ReadPage(aClient,
                         "http://" + vm["operatorAddress"].get<std::string>() +
                           "/status");
    isWhole = isWhole && !all[name].is_null();
    rows.push_back(StatusRow(name, all[name]));
  }
  if (aCommon.mIsJson) {
    std::cout << all.dump() << std::endl;
  } else {
    PrintTable(rows);
  }
  return isWhole ? kExitGood : kExitFailed;
}

std::string
Tag(const Json& aSpan, const std::string& aKey)
{
  for (const Json& tag : aSpan.value("tags", Json::array())) {
    if (tag.value("key", "") == aKey) {
      return tag.value("value", "");
    }
  }
  return "-";
}

void
PrintSpans(const Json& aTrace)
{
  std::vector<Json> spans = aTrace["spans"];
  std::sort(spans.begin(), spans.end(), [](const Json& a_, const Json& aRight) {
    return a_["startTime"] < aRight["startTime"];
  });
  std::vector<std::vector<std::string>> rows{
    { "hop", "process", "start us", "took us", "endpoint", "end" }
  };
  const int64_t start =
    spans.empty() ? 0 : spans.front()["startTime"].get<int64_t>();
  for (const Json& span : spans) {
    const std::string process =
      aTrace["processes"][span["processID"].get<std::string>()]["serviceName"];
    rows.push_back({ span["operationName"],
                     process,
                     std::to_string(span["startTime"].get<int64_t>() - start),
                     span["duration"].dump(),
                     Tag(span, "endpoint"),
                     Tag(span, "end") });
  }
  PrintTable(rows);
}

}

int
Addresses(const std::string& aEntry, const CommonOptions& aCommon)
{
  Client client;
  const ClientAnswer answer = client.Get(aEntry + "/v1/addresses");
  const Json json =
    Json::parse(answer.mAnswer.mBody.toStdString(), nullptr, false);
  if (answer.mOutcome.mStatus != 200 || !json.is_object()) {
    return ReportFailure(answer, aCommon.mIsJson);
  }
  if (aCommon.mIsJson) {
    std::cout << json.dump() << std::endl;
    return kExitGood;
  }
  std::vector<std::vector<std::string>> rows{ { "address", "zone" } };
  for (const Json& address : json["addresses"]) {
    rows.push_back({ address["url"], address["availabilityZone"] });
  }
  PrintTable(rows);
  std::cout << "keep for " << json["ttlSeconds"] << " s, revision "
            << json["revision"] << std::endl;
  return kExitGood;
}

int
Status(const std::string& aOperator,
       bool aIsFleet,
       const CommonOptions& aCommon)
{
  Client client;
  if (aIsFleet) {
    return PrintFleet(client, aOperator, aCommon);
  }
  const Json status = ReadPage(client, aOperator + "/status");
  if (status.is_null()) {
    std::cerr << "no answer from " << aOperator << std::endl;
    return kExitFailed;
  }
  std::cout << status.dump(aCommon.mIsJson ? -1 : 2) << std::endl;
  return kExitGood;
}

int
Explain(const std::string& aOperator,
        const std::string& aWorkspace,
        const std::string& aKind,
        const CommonOptions& aCommon)
{
  Client client;
  const Json report = ReadPage(
    client, aOperator + "/explain?workspace=" + aWorkspace + "&kind=" + aKind);
  if (report.is_null()) {
    std::cerr << "no answer from " << aOperator << std::endl;
    return kExitFailed;
  }
  if (aCommon.mIsJson) {
    std::cout << report.dump() << std::endl;
    return kExitGood;
  }
  std::cout << "route " << Text(report, "/route") << ", pool "
            << Text(report, "/pool") << ", revision "
            << Text(report, "/revision") << std::endl;
  std::vector<std::vector<std::string>> rows{
    { "vm", "zone", "address", "verdict", "usage" }
  };
  for (const Json& endpoint : report.value("endpoints", Json::array())) {
    rows.push_back({ Text(endpoint, "/vm"),
                     Text(endpoint, "/availabilityZone"),
                     Text(endpoint, "/address"),
                     Text(endpoint, "/verdict"),
                     Text(endpoint, "/usage") });
  }
  PrintTable(rows);
  std::cout << Text(report, "/verdict") << std::endl;
  return kExitGood;
}

int
Trace(const std::string& aCollector,
      const std::string& aTraceId,
      const CommonOptions& aCommon)
{
  Client client;
  const Json page = ReadPage(client, aCollector + "/api/traces/" + aTraceId);
  if (page.is_null() || page.value("data", Json::array()).empty()) {
    std::cerr << "no spans of trace " << aTraceId << std::endl;
    return kExitFailed;
  }
  if (aCommon.mIsJson) {
    std::cout << page.dump() << std::endl;
  } else {
    PrintSpans(page["data"][0]);
  }
  return kExitGood;
}

}
