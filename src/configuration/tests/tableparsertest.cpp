#include "configuration/tableparser.h"
#include "configuration/tables.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever;
using configuration::Document;

namespace {

const Document kPools{ "pools",
                       R"({"pools":[ // two pools
    {"name":"experts","type":"model","bears":4,"endpoints":[
      {"vm":"m1","availabilityZone":"a","address":"127.0.0.1:1","group":"g","rank":0},
      {"vm":"m2","availabilityZone":"b","address":"127.0.0.1:2","group":"g","rank":1}]},
    {"name":"rota","type":"service","bears":2,"endpoints":[]}]})",
                       3 };

std::string
ParseResult(const std::vector<Document>& aDocuments)
{
  return global::Resolve(
    [&]() -> global::Result<std::string> {
      BOOST_LEAF_AUTO(entries, configuration::ParseDocuments(aDocuments));
      return "accepted " + std::to_string(entries.size());
    },
    [](const global::Error& aError) { return aError.mMessage; });
}

Document
Routes(const std::string& aRows)
{
  return { "routes", "{\"routes\":[" + aRows + "]}", 5 };
}

}

TEST_GROUP(TableParser){};

TEST(TableParser, ConsistentTablesAreAccepted)
{
  const auto result = ParseResult(
    { kPools,
      Routes(R"({"workspace":"gas","kind":"chat","pool":"experts"})") });

  CHECK_EQUAL(std::string("accepted 3"), result);
}

TEST(TableParser, ARouteToAMissingPoolIsRefusedByName)
{
  const auto result = ParseResult(
    { kPools, Routes(R"({"workspace":"gas","kind":"chat","pool":"none"})") });

  CHECK(result.find("route/gas/chat: names pool none") == 0);
}

TEST(TableParser, AChatRouteToAServiceIsRefused)
{
  const auto result = ParseResult(
    { kPools, Routes(R"({"workspace":"gas","kind":"chat","pool":"rota"})") });

  CHECK(result.find("does not match the type") != std::string::npos);
}

TEST(TableParser, AnUnknownKeyIsRefusedWithItsLocation)
{
  const auto result = ParseResult(
    { kPools,
      Routes(R"({"workspace":"gas","kind":"chat","pool":"experts","x":1})") });

  CHECK(result.find("routes: ") == 0);
  CHECK(result.find("[routes][0]") != std::string::npos);
}

TEST(TableParser, TheSameRouteInTwoDocumentsIsRefused)
{
  Document second =
    Routes(R"({"workspace":"gas","kind":"chat","pool":"experts"})");
  second.mName = "routes/2";

  const auto result = ParseResult(
    { kPools,
      Routes(R"({"workspace":"gas","kind":"chat","pool":"experts"})"),
      second });

  CHECK_EQUAL(std::string("routes/2: route/gas/chat is defined twice"), result);
}

TEST(TableParser, ChangesAreAppliedToACopy)
{
  auto entries = configuration::ParseDocuments(
    { kPools, { "service", R"({"out":{"availabilityZones":["a"]}})", 7 } });
  const auto first = configuration::Tables().With(entries.value(), 7);

  const auto second = first->With({ { "out/zone/a", "", 9, true } }, 9);

  CHECK(first->Service().IsOutOfService("m1", "a"));
  CHECK_FALSE(second->Service().IsOutOfService("m1", "a"));
  CHECK_EQUAL(9u, second->Revision());
}

TEST(TableParser, AnInvalidRowAmongCachedOnesIsRefusedWithItsLocation)
{
  configuration::RowCache cache;
  const std::string validRow =
    R"({"workspace":"gas","kind":"chat","pool":"experts"})";
  configuration::ParseDocuments({ kPools, Routes(validRow) }, cache).value();
  const Document changed =
    Routes(validRow + R"(,{"workspace":"gas","kind":1,"pool":"experts"})");

  const auto result = global::Resolve(
    [&]() -> global::Result<std::string> {
      BOOST_LEAF_CHECK(
        configuration::ParseDocuments({ kPools, changed }, cache));
      return "accepted";
    },
    [](const global::Error& aError) { return aError.mMessage; });

  CHECK(result.find("[routes][1][kind]") != std::string::npos);
}
