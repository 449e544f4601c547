#include "framework/tracing/tracer.h"

#include "framework/global/identifiers.h"

#include <nlohmann/json.hpp>
#include <regex>

namespace beryllever::tracing {

using Json = nlohmann::json;

namespace {

constexpr size_t kMaxEndedSpans = 2048;
constexpr size_t kTraceIdBytes = 16;
constexpr size_t kSpanIdBytes = 8;
constexpr int kSpanKindServer = 2;

std::string
Nanoseconds(std::chrono::system_clock::time_point aTime)
{
  return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(
                          aTime.time_since_epoch())
                          .count());
}

Json
Attribute(const std::string& aKey, const std::string& aValue)
{
  return { { "key", aKey }, { "value", { { "stringValue", aValue } } } };
}

Json
ToJson(const Span& aSpan)
{
  Json attributes = Json::array();
  for (const auto& [key, value] : aSpan.mAttributes) {
    attributes.push_back(Attribute(key, value));
  }
  return { { "traceId", aSpan.mContext.mTraceId },
           { "spanId", aSpan.mContext.mSpanId },
           { "parentSpanId", aSpan.mParentSpanId },
           { "name", aSpan.mName },
           { "kind", kSpanKindServer },
           { "startTimeUnixNano", Nanoseconds(aSpan.mStart) },
           { "endTimeUnixNano", Nanoseconds(aSpan.mEnd) },
           { "attributes", attributes } };
}

}

std::string
TraceContext::ToHeader() const
{
  return "00-" + mTraceId + "-" + mSpanId + "-01";
}

TraceContext
ParseTraceparent(const std::string& aHeader)
{
  static const std::regex sPattern(
    "00-([0-9a-f]{32})-([0-9a-f]{16})-[0-9a-f]{2}");
  if (std::smatch match; std::regex_match(aHeader, match, sPattern)) {
    return { match[1], match[2] };
  }
  return { global::RandomHex(kTraceIdBytes), "" };
}

Tracer::Tracer(std::string aServiceName)
  : mServiceName(std::move(aServiceName))
{
}

Span
Tracer::Start(const TraceContext& aParent, const std::string& aName) const
{
  Span span;
  span.mContext = { aParent.mTraceId, global::RandomHex(kSpanIdBytes) };
  span.mParentSpanId = aParent.mSpanId;
  span.mName = aName;
  span.mStart = std::chrono::system_clock::now();
  return span;
}

void
Tracer::Finish(Span aSpan)
{
  aSpan.mEnd = std::chrono::system_clock::now();
  const std::lock_guard lock(mMutex);
  if (mEnded.size() >= kMaxEndedSpans) {
    mEnded.pop_front();
  }
  mEnded.push_back(std::move(aSpan));
}

std::string
Tracer::TakeOtlp()
{
  std::deque<Span> ended;
  {
    const std::lock_guard lock(mMutex);
    ended.swap(mEnded);
  }
  if (ended.empty()) {
    return {};
  }
  Json spans = Json::array();
  for (const Span& span : ended) {
    spans.push_back(ToJson(span));
  }
  const Json scope{ { "scope", { { "name", "beryllever" } } },
                    { "spans", spans } };
  const Json resource{
    { "attributes", Json::array({ Attribute("service.name", mServiceName) }) }
  };
  const Json request{ { "resourceSpans",
                        Json::array(
                          { { { "resource", resource },
                              { "scopeSpans", Json::array({ scope }) } } }) } };
  return request.dump();
}

}
