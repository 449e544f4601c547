#include "configuration/processsettings.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever;

namespace {

std::string
Verdict(const std::string& aText)
{
  return global::Resolve(
    [&]() -> global::Result<std::string> {
      BOOST_LEAF_AUTO(settings, configuration::ParseSettings(aText, "s.json"));
      return "accepted " + settings->Role();
    },
    [](const global::Error& aError) { return aError.mMessage; });
}

std::string
Settings(const std::string& aMore)
{
  return R"({"role":"entry","vm":"e1","availabilityZone":"a","peerAddress":"127.0.0.1:1",
             "operatorAddress":"127.0.0.1:2")" +
         aMore + "}";
}

}

TEST_GROUP(ProcessSettings){};

TEST(ProcessSettings, WholeSettingsAreAccepted)
{
  const auto verdict = Verdict(Settings(
    R"(,"callerAddress":"127.0.0.1:3","seeds":["127.0.0.1:4"] /* more */)"));

  CHECK_EQUAL(std::string("accepted entry"), verdict);
}

TEST(ProcessSettings, AMissingAddressIsNamed)
{
  CHECK_EQUAL(std::string("s.json: callerAddress: an entry needs it"),
              Verdict(Settings("")));
}

TEST(ProcessSettings, ANameInPlaceOfAnIpNumberIsRefused)
{
  const auto verdict = Verdict(Settings(R"(,"callerAddress":"localhost:3")"));

  CHECK(verdict.find("[callerAddress]") != std::string::npos);
}
