#include "framework/settings/jsondocument.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever;

namespace {

std::string
Message(const std::function<global::Result<void>()>& aFunction)
{
  std::string message = "accepted";
  global::Resolve(
    aFunction, [&](const global::Error& aError) { message = aError.mMessage; });
  return message;
}

const char* const kSchema =
  R"({"type":"object","properties":{"port":{"type":"integer"}},"additionalProperties":false})";

}

TEST_GROUP(JsonDocument){};

TEST(JsonDocument, CommentsAreAllowed)
{
  const auto message = Message([]() -> global::Result<void> {
    BOOST_LEAF_AUTO(json, settings::ParseJson("// a port\n{\"port\": 1}", "x"));
    return settings::CheckSchema(json, kSchema, "x");
  });

  CHECK_EQUAL(std::string("accepted"), message);
}

TEST(JsonDocument, ABadValueIsNamedWithItsPlace)
{
  const auto message = Message([]() {
    return settings::CheckSchema(
      settings::Json{ { "port", "one" } }, kSchema, "settings.json");
  });

  CHECK(message.find("settings.json") != std::string::npos);
  CHECK(message.find("[port]") != std::string::npos);
}
