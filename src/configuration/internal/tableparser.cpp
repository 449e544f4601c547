#include "configuration/tableparser.h"

#include "framework/global/hashing.h"
#include "schemas.h"

#include <unordered_map>

namespace beryllever::configuration {

using global::ErrorKind;
using global::Fail;
using global::Result;
using settings::Json;

namespace {

/** Fields of a route that are checked against the pools. */
struct RouteReference
{
  std::string mKey;
  std::string mPool;
  std::string mKind;
};

/** Parses and validates the rows of all documents. */
class Parser
{
public:
  explicit Parser(RowCache& aCache)
    : mCache(aCache)
  {
  }

  Result<void> Add(const Document& aDocument)
  {
    BOOST_LEAF_AUTO(json,
                    settings::ParseJson(aDocument.mText, aDocument.mName));
    const std::string table =
      aDocument.mName.substr(0, aDocument.mName.find('/'));
    if (table == "routes") {
      return AddRoutes(aDocument, json);
    }
    if (table == "pools") {
      return AddPools(aDocument, json);
    }
    if (table == "service") {
      return AddService(aDocument, json);
    }
    return Fail(ErrorKind::InvalidConfiguration,
                aDocument.mName +
                  ": document name must begin with routes, pools or "
                  "service");
  }

  Result<std::vector<spread::Change>> Finish()
  {
    BOOST_LEAF_CHECK(CheckRouteReferences());
    mCache.mAcceptedHashes = std::move(mCurrentHashes);
    return std::move(mEntries);
  }

private:
  Result<void> AddEntry(const Document& aDocument,
                        const std::string& aKey,
                        std::string aValue)
  {
    if (!mKeys.insert(aKey).second) {
      return Fail(ErrorKind::InvalidConfiguration,
                  aDocument.mName + ": " + aKey + " is defined twice");
    }
    mEntries.push_back({ aKey, std::move(aValue), aDocument.mRevision, false });
    return {};
  }

  /** Checks the schema of the document, without the rows that are in the cache
   * of accepted rows. Returns the serialized rows. */
  Result<std::vector<std::string>> CheckRows(const Document& aDocument,
                                             const Json& aJson,
                                             const char* aTable,
                                             const char* aSchema)
  {
    std::vector<std::string> rows;
    if (!aJson.is_object() || !aJson.contains(aTable) ||
        !aJson[aTable].is_array()) {
      BOOST_LEAF_CHECK(settings::CheckSchema(aJson, aSchema, aDocument.mName));
      return rows;
    }
    Json uncheckedRows = Json::array();
    for (const Json& row : aJson[aTable]) {
      rows.push_back(row.dump());
      const uint64_t hash = global::StableHash(rows.back());
      mCurrentHashes.insert(hash);
      if (!mCache.mAcceptedHashes.contains(hash)) {
        uncheckedRows.push_back(row);
      }
    }
    Json uncheckedDocument{ { aTable, std::move(uncheckedRows) } };
    for (const auto& [key, value] : aJson.items()) {
      if (key != aTable) {
        uncheckedDocument[key] = value;
      }
    }
    const bool isValid = global::Resolve(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(
          settings::CheckSchema(uncheckedDocument, aSchema, aDocument.mName));
        return true;
      },
      [](const global::Error&) { return false; });
    if (!isValid) {
      // Checks the whole document, so that the error message has the row's
      // index in the document.
      BOOST_LEAF_CHECK(settings::CheckSchema(aJson, aSchema, aDocument.mName));
    }
    return rows;
  }

  Result<void> AddRoutes(const Document& aDocument, const Json& aJson)
  {
    BOOST_LEAF_AUTO(rows,
                    CheckRows(aDocument, aJson, "routes", schemas::kRoutes));
    for (size_t i = 0; i < rows.size(); ++i) {
      const Json& row = aJson["routes"][i];
      const std::string kind = row["kind"];
      const std::string key =
        kRoutePrefix + row["workspace"].get<std::string>() + "/" + kind;
      BOOST_LEAF_CHECK(AddEntry(aDocument, key, std::move(rows[i])));
      mRoutes.push_back({ key, row["pool"], kind });
    }
    return {};
  }

  Result<void> AddPools(const Document& aDocument, const Json& aJson)
  {
    BOOST_LEAF_AUTO(rows,
                    CheckRows(aDocument, aJson, "pools", schemas::kPools));
    for (size_t i = 0; i < rows.size(); ++i) {
      const Pool pool = PoolFromJson(aJson["pools"][i]);
      const std::string key = kPoolPrefix + pool.mName;
      BOOST_LEAF_CHECK(CheckPool(key, pool));
      BOOST_LEAF_CHECK(AddEntry(aDocument, key, std::move(rows[i])));
      mPoolTypes[pool.mName] = pool.mType;
    }
    return {};
  }

  Result<void> AddService(const Document& aDocument, const Json& aJson)
  {
    BOOST_LEAF_CHECK(
      settings::CheckSchema(aJson, schemas::kService, aDocument.mName));
    const Json& out = aJson["out"];
    for (const std::string& zone :
         out.value("availabilityZones", std::set<std::string>())) {
      BOOST_LEAF_CHECK(AddEntry(aDocument, kOutZonePrefix + zone, "true"));
    }
    for (const std::string& vm : out.value("vms", std::set<std::string>())) {
      BOOST_LEAF_CHECK(AddEntry(aDocument, kOutVmPrefix + vm, "true"));
    }
    return {};
  }

  static Result<void> CheckPool(const std::string& aKey, const Pool& aPool)
  {
    if (aPool.mColdConcurrency > aPool.mWarmConcurrency) {
      return Fail(ErrorKind::InvalidConfiguration,
                  aKey + ": coldBears must not exceed bears");
    }
    std::set<std::string> addresses;
    std::set<std::pair<std::string, int>> ranks;
    for (const Endpoint& endpoint : aPool.mEndpoints) {
      if (!addresses.insert(endpoint.mAddress).second) {
        return Fail(ErrorKind::InvalidConfiguration,
                    aKey + ": address " + endpoint.mAddress + " is used twice");
      }
      const bool isRank =
        aPool.mType == PoolType::Model && !endpoint.mGroup.empty();
      if (isRank && !ranks.insert({ endpoint.mGroup, endpoint.mRank }).second) {
        return Fail(ErrorKind::InvalidConfiguration,
                    aKey + ": group " + endpoint.mGroup + " defines rank " +
                      std::to_string(endpoint.mRank) + " twice");
      }
    }
    return {};
  }

  Result<void> CheckRouteReferences() const
  {
    for (const RouteReference& route : mRoutes) {
      const auto it = mPoolTypes.find(route.mPool);
      if (it == mPoolTypes.end()) {
        return Fail(ErrorKind::InvalidConfiguration,
                    route.mKey + ": names pool " + route.mPool +
                      ", which does not exist");
      }
      const bool isChat = route.mKind == kChatKind;
      if (isChat != (it->second == PoolType::Model)) {
        return Fail(ErrorKind::InvalidConfiguration,
                    route.mKey + ": kind " + route.mKind +
                      " does not match the type of pool " + route.mPool);
      }
    }
    return {};
  }

  RowCache& mCache;
  std::unordered_set<uint64_t> mCurrentHashes;
  std::unordered_set<std::string> mKeys;
  std::vector<spread::Change> mEntries;
  std::vector<RouteReference> mRoutes;
  std::unordered_map<std::string, PoolType> mPoolTypes;
};

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
ParseDocuments(const std::vector<Document>& aDocuments, RowCache& aCache)
{
  Parser parser(aCache);
  for (const Document& document : aDocuments) {
    BOOST_LEAF_CHECK(parser.Add(document));
  }
  return parser.Finish();
}

Result<std::vector<spread::Change>>
ParseDocuments(const std::vector<Document>& aDocuments)
{
  RowCache cache;
  return ParseDocuments(aDocuments, cache);
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
  pool.mWarmConcurrency = aJson["bears"];
  pool.mColdConcurrency = aJson.value("coldBears", 1);
  pool.mExpertMap = aJson.value("expertMap", uint64_t(0));
  for (const Json& endpoint : aJson["endpoints"]) {
    pool.mEndpoints.push_back(EndpointFromJson(endpoint));
  }
  return pool;
}

}
