#include "cli/requestwalk.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever::cli;

TEST_GROUP(RequestWalk){};

TEST(RequestWalk, LeadsFromARequestToItsCause)
{
  const std::vector<std::string> lines{
    "2026-06-10T00:34:05.044Z INFO  edge-2 request: Ended. request=cef6 "
    "route=r-1 pool=p endpoint=i-8a status=502 attempts=2 outcome=\"endpoint "
    "does not accept the connection in time\"",
    "2026-06-10T00:34:04.700Z WARN  edge-2 request: Attempt failed. "
    "request=cef6 endpoint=i-77 attempt=1 reason=answer ended: cut",
    "2026-06-10T00:34:03.000Z INFO  edge-2 published: Endpoint is gone. "
    "key=x endpoint=i-8a",
    "2026-06-10T00:34:09.000Z INFO  edge-2 published: Endpoint is known. "
    "endpoint=i-8a",
    "2026-06-10T00:34:04.000Z INFO  edge-2 request: Ended. request=other "
    "endpoint=i-8a status=200 outcome=\"answered\"",
  };

  const RequestWalk walk = WalkRequest("cef6", lines);

  LONGS_EQUAL(2, walk.mLines.size());
  CHECK(walk.mLines[0].find("Attempt failed") != std::string::npos);
  LONGS_EQUAL(1, walk.mContext.size());
  CHECK(walk.mContext[0].find("is gone") != std::string::npos);
  CHECK(walk.mCause.starts_with("failed: an endpoint may have run it"));
  CHECK(walk.mCause.find("does not accept") != std::string::npos);
}

TEST(RequestWalk, FindsNothingAboutAnUnknownRequest)
{
  CHECK(
    WalkRequest("x", { "2026-06-10T00:34:05.044Z request=y" }).mLines.empty());
}
