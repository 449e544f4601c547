#pragma once

#include "configuration/iconfiguration.h"
#include "configuration/processsettings.h"
#include "entry/internal/replies.h"
#include "entry/internal/router.h"
#include "framework/metrics/metrics.h"
#include "framework/net/httpexchange.h"
#include "framework/tracing/tracer.h"
#include "streams/memorybudget.h"

#include <memory>

namespace beryllever::entry {

/** Shared by all sessions of an entry; outlives them. */
struct SessionContext
{
  const global::IClock& mClock;
  std::shared_ptr<configuration::IProcessSettings> mSettings;
  std::shared_ptr<configuration::IConfiguration> mConfiguration;
  metrics::Metrics& mMetrics;
  tracing::Tracer& mTracer;
  Router& mRouter;
  streams::MemoryBudget& mBudget;
  /** Object that lives on the traffic thread. */
  QObject* mTrafficContext = nullptr;
};

/** A validated request of a caller. */
struct CallerRequest
{
  std::string mWorkspace;
  std::string mKind;
  std::string mBody;
  configuration::Tables::RoutePointer mRoute;
  global::TimePoint mDeadline;
};

/**
 * One request of a caller, from its arrival to the end of the response. Runs on
 * the traffic thread.
 */
class Session : public std::enable_shared_from_this<Session>
{
public:
  Session(SessionContext& aContext,
          net::HttpExchange* aExchange,
          CallerRequest aRequest,
          const std::string& aSpanName);
  virtual ~Session();

  /** Reserves memory and begins the request. */
  void Start();

protected:
  virtual void Begin() = 0;
  /** The caller has closed the connection. */
  virtual void HandleDisconnect() = 0;

  /** Ends the session with an error. */
  void Fail(const global::Error& aError, const ErrorDetails& aDetails = {});
  /** Ends the session after the response has been sent. */
  void Finish(const std::string& aEnd);
  PlacementRequest MakePlacementRequest() const;
  bool IsPastDeadline() const
  {
    return mContext.mClock.Now() >= mRequest.mDeadline;
  }

  template<typename T>
  std::shared_ptr<T> Self()
  {
    return std::static_pointer_cast<T>(shared_from_this());
  }

  SessionContext& mContext;
  /** Null once the response is complete or the caller has disconnected. */
  net::HttpExchange* mExchange;
  CallerRequest mRequest;
  tracing::Span mSpan;

private:
  int64_t mReservedBytes = 0;
  global::TimePoint mStartedAt;
};

}
