#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace beryllever::tracing {

/** Place of a hop in a trace, as in the W3C traceparent header. */
struct TraceContext
{
  std::string mTraceId;
  std::string mSpanId;

  std::string ToHeader() const;
};

/** Reads a traceparent header; a new trace if it is absent or malformed. */
TraceContext
ParseTraceparent(const std::string& aHeader);

/** One hop of a request. Ends when Tracer::Finish takes it. */
struct Span
{
  TraceContext mContext;
  std::string mParentSpanId;
  std::string mName;
  std::chrono::system_clock::time_point mStart;
  std::chrono::system_clock::time_point mEnd;
  std::map<std::string, std::string> mAttributes;
};

/** Starts spans and keeps the ended ones until they are exported. Safe to call
 * from any thread. */
class Tracer
{
public:
  explicit Tracer(std::string aServiceName);

  /** Starts a span below a parent. */
  Span Start(const TraceContext& aParent, const std::string& aName) const;
  /** Ends a span. Under pressure the oldest spans are dropped. */
  void Finish(Span aSpan);
  /** Takes all ended spans as one OTLP/HTTP JSON request; empty if there are
   * none. */
  std::string TakeOtlp();

private:
  std::string mServiceName;
  std::mutex mMutex;
  std::deque<Span> mEnded;
};

}
