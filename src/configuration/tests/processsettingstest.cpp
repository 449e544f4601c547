#include "configuration/processsettings.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever;

namespace {

std::string
ParseResult(const std::string& aText)
{
  return global::Resolve(
    [&]() -> global::Result<std::string> {
      BOOST_LEAF_AUTO(settings, configuration::ParseSettings(aText, "s.json"));
      return "accepted " + settings->Role();
    },
    [](const global::Error& aError) { return aError.mMessage; });
}

std::string
Settings(const std::string& aMoreFields)
{
  return R"({"role":"entry","vm":"e1","availabilityZone":"a","peerAddress":"127.0.0.1:1",
             "operatorAddress":"127.0.0.1:2")" +
         aMoreFields + "}";
}

}

TEST_GROUP(ProcessSettings){};

TEST(ProcessSettings, CompleteSettingsAreAccepted)
{
  const auto result = ParseResult(Settings(
    R"(,"callerAddress":"127.0.0.1:3","seeds":["127.0.0.1:4"] /* more */)"));

  CHECK_EQUAL(std::string("accepted entry"), result);
}

TEST(ProcessSettings, AMissingAddressIsReported)
{
  CHECK_EQUAL(std::string("s.json: callerAddress: required for an entry"),
              ParseResult(Settings("")));
}

TEST(ProcessSettings, AHostNameInsteadOfAnIpAddressIsRefused)
{
  const auto result =
    ParseResult(Settings(R"(,"callerAddress":"localhost:3")"));

  CHECK(result.find("[callerAddress]") != std::string::npos);
}
