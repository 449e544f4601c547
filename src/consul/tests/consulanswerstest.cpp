#include "consul/internal/consulanswers.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever;

TEST_GROUP(ConsulAnswers){};

TEST(ConsulAnswers, DocumentsAreDecoded)
{
  const auto documents = consul::ParseKeyValues(
    R"([{"Key":"beryllever/routes/1","Value":"e30=","ModifyIndex":7,"CreateIndex":1}])");

  CHECK_EQUAL(std::string("routes/1"), documents.value()[0].mName);
  CHECK_EQUAL(std::string("{}"), documents.value()[0].mText);
  CHECK_EQUAL(7u, documents.value()[0].mRevision);
}

TEST(ConsulAnswers, NodesWithoutARoleAreIgnored)
{
  const auto vms = consul::ParseNodes(R"([{"Node":"db","Meta":{}},
    {"Node":"e1","Meta":{"beryllever-role":"entry","beryllever-availability-zone":"a","beryllever-state":"leaving"}}])");

  CHECK_EQUAL(1u, vms.value().size());
  CHECK(vms.value()[0].mState == configuration::VmState::Leaving);
}

TEST(ConsulAnswers, InvalidResponsesAreRejected)
{
  const auto isRefused = [](const std::string& aBody) {
    return global::Resolve(
      [&]() -> global::Result<bool> {
        BOOST_LEAF_CHECK(consul::ParseKeyValues(aBody));
        return false;
      },
      [](const global::Error&) { return true; });
  };

  CHECK(isRefused("<html>"));
  CHECK(isRefused(R"([{"Key":1}])"));
}
