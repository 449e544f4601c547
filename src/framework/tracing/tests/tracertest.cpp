#include "framework/tracing/tracer.h"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

using namespace beryllever::tracing;

TEST_GROUP(Tracer){};

TEST(Tracer, AMalformedTraceparentStartsANewTrace)
{
  const TraceContext context = ParseTraceparent("00-zz-1");

  CHECK_EQUAL(32u, context.mTraceId.size());
  CHECK(context.mSpanId.empty());
}

TEST(Tracer, AChildKeepsTheTraceAndNamesItsParent)
{
  Tracer tracer("entry-1");
  const TraceContext parent =
    ParseTraceparent("00-0123456789abcdef0123456789abcdef-0123456789abcdef-01");

  tracer.Finish(tracer.Start(parent, "route"));

  const auto json = nlohmann::json::parse(tracer.TakeOtlp());
  const auto span = json["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
  CHECK_EQUAL(parent.mTraceId, span["traceId"].get<std::string>());
  CHECK_EQUAL(parent.mSpanId, span["parentSpanId"].get<std::string>());
  CHECK(tracer.TakeOtlp().empty());
}
