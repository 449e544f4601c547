#include "configuration/tableparser.h"

#include "schemas.h"

#include <map>

namespace beryllever::configuration {

using global::ErrorKind;
using global::Fail;
using global::Result;
using settings::Json;

namespace {

using EntryMap = std::map<std::string, spread::Change>;

Result<void>
Add(EntryMap& aEntries,
    const Document& aDocument,
    const std::string& aKey,
    const Json& aValue)
{
  const spread::Change change{
    aKey, aValue.dump(), aDocument.mRevision, false
  };
  if (!aEntries.emplace(aKey, change).second) {
    return Fail(ErrorKind::InvalidConfiguration,
                aDocument.mName + ": " + aKey + " stands twice");
  }
  return {};
}

Result<void>
AddRoutes(EntryMap& aEntries, const Document& aDocument, const Json& aJson)
{
  BOOST_LEAF_CHECK(
    settings::CheckSchema(aJson, schemas::kRoutes, aDocument.mName));
  for (const Json& row : aJson["routes"]) {
    const std::string key = kRoutePrefix + row["workspace"].get<std::string>() +
                            "/" + row["kind"].get<std::string>();
    BOOST_LEAF_CHECK(Add(aEntries, aDocument, key, row));
  }
  return {};
}

Result<void>
AddPools(EntryMap& aEntries, const Document& aDocument, const Json& aJson)
{
  BOOST_LEAF_CHECK(
    settings::CheckSchema(aJson, schemas::kPools, aDocument.mName));
  for (const Json& row : aJson["pools"]) {
    BOOST_LEAF_CHECK(Add(
      aEntries, aDocument, kPoolPrefix + row["name"].get<std::string>(), row));
  }
  return {};
}

Result<void>
AddService(EntryMap& aEntries, const Document& aDocument, const Json& aJson)
{
  BOOST_LEAF_CHECK(
    settings::CheckSchema(aJson, schemas::kService, aDocument.mName));
  const Json& out = aJson["out"];
  for (const std::string& zone :
       out.value("availabilityZones", std::set<std::string>())) {
    BOOST_LEAF_CHECK(Add(aEntries, aDocument, kOutZonePrefix + zone, true));
  }
  for (const std::string& vm : out.value("vms", std::set<std::string>())) {
    BOOST_LEAF_CHECK(Add(aEntries, aDocument, kOutVmPrefix + vm, true));
  }
  return {};
}

Result<void>
AddDocument(EntryMap& aEntries, const Document& aDocument)
{
  BOOST_LEAF_AUTO(json, settings::ParseJson(aDocument.mText, aDocument.mName));
  const std::string table =
    aDocument.mName.substr(0, aDocument.mName.find('/'));
  if (table == "routes") {
    return AddRoutes(aEntries, aDocument, json);
  }
  if (table == "pools") {
    return AddPools(aEntries, aDocument, json);
  }
  if (table == "service") {
    return AddService(aEntries, aDocument, json);
  }
  return Fail(ErrorKind::InvalidConfiguration,
              aDocument.mName + ": is neither routes, pools nor service");
}

Result<void>
CheckRoute(const EntryMap& aEntries, const spread::Change& aEntry)
{
  const Route route = RouteFromJson(Json::parse(aEntry.mValue));
  const auto it = aEntries.find(kPoolPrefix + route.mPool);
  if (it == aEntries.end()) {
    return Fail(ErrorKind::InvalidConfiguration,
                aEntry.mKey + ": names pool " + route.mPool +
                  ", which is not there");
  }
  const Pool pool = PoolFromJson(Json::parse(it->second.mValue));
  const bool isChat = route.mKind == kChatKind;
  if (isChat != (pool.mType == PoolType::Model)) {
    return Fail(ErrorKind::InvalidConfiguration,
                aEntry.mKey + ": kind " + route.mKind +
                  " does not fit the type of pool " + route.mPool);
  }
  return {};
}

Result<void>
CheckPool(const spread::Change& aEntry)
{
  const Pool pool = PoolFromJson(Json::parse(aEntry.mValue));
  if (pool.mColdBears > pool.mBears) {
    return Fail(ErrorKind::InvalidConfiguration,
                aEntry.mKey + ": coldBears is above bears");
  }
  std::set<std::string> addresses;
  std::set<std::pair<std::string, int>> ranks;
  for (const Endpoint& endpoint : pool.mEndpoints) {
    if (!addresses.insert(endpoint.mAddress).second) {
      return Fail(ErrorKind::InvalidConfiguration,
                  aEntry.mKey + ": address " + endpoint.mAddress +
                    " stands twice");
    }
    const bool isRank =
      pool.mType == PoolType::Model && !endpoint.mGroup.empty();
    if (isRank && !ranks.insert({ endpoint.mGroup, endpoint.mRank }).second) {
      return Fail(ErrorKind::InvalidConfiguration,
                  aEntry.mKey + ": group " + endpoint.mGroup + " has rank " +
                    std::to_string(endpoint.mRank) + " twice");
    }
  }
  return {};
}

Result<void>
CheckJoin(const EntryMap& aEntries)
{
  for (const auto& [key, entry] : aEntries) {
    if (key.starts_with(kRoutePrefix)) {
      BOOST_LEAF_CHECK(CheckRoute(aEntries, entry));
    } else if (key.starts_with(kPoolPrefix)) {
      BOOST_LEAF_CHECK(CheckPool(entry));
    }
  }
  return {};
}

Endpoint
EndpointFromJson(const Json& aJson)
{
  return { .mVm = aJson["vm"],
           .mAvailabilityZone = aJson["availabilityZone"],
           .mAddress = aJson["address"],
           .mGroup = aJson.value("group", ""),
           .mRank = aJson.value("rank", 0) };
}

}

Result<std::vector<spread::Change>>
ParseDocuments(const std::vector<Document>& aDocuments)
{
  EntryMap entries;
  for (const Document& document : aDocuments) {
    BOOST_LEAF_CHECK(AddDocument(entries, document));
  }
  BOOST_LEAF_CHECK(CheckJoin(entries));
  std::vector<spread::Change> list;
  for (auto& [key, entry] : entries) {
    list.push_back(std::move(entry));
  }
  return list;
}

Route
RouteFromJson(const Json& aJson)
{
  Route route;
  route.mWorkspace = aJson["workspace"];
  route.mKind = aJson["kind"];
  route.mPool = aJson["pool"];
  route.mIsIdempotent = aJson.value("idempotent", route.mIsIdempotent);
  route.mPriority = aJson.value("priority", route.mPriority);
  route.mWeight = aJson.value("weight", route.mWeight);
  route.mTimeout = std::chrono::milliseconds(
    aJson.value("timeoutMilliseconds", route.mTimeout.count()));
  return route;
}

Pool
PoolFromJson(const Json& aJson)
{
  Pool pool;
  pool.mName = aJson["name"];
  pool.mType = aJson["type"] == "model" ? PoolType::Model : PoolType::Service;
  pool.mModel = aJson.value("model", "");
  pool.mBears = aJson["bears"];
  pool.mColdBears = aJson.value("coldBears", 1);
  pool.mExpertMap = aJson.value("expertMap", uint64_t(0));
  for (const Json& endpoint : aJson["endpoints"]) {
    pool.mEndpoints.push_back(EndpointFromJson(endpoint));
  }
  return pool;
}

}
