#pragma once

#include "beryllever.grpc.pb.h"
#include "configuration/processsettings.h"
#include "framework/global/errors.h"
#include "framework/global/iclock.h"
#include "framework/net/httpcall.h"
#include "framework/tracing/tracer.h"
#include "transport/serverstream.h"

#include <functional>
#include <memory>
#include <optional>

namespace beryllever::agent {

using ExecuteStream = transport::ServerStream<v1::ExecuteUpdate>;

/** Result of a request to the back end. */
struct ExecutionResult
{
  /** Whether the complete response was received. */
  bool mIsComplete = false;
  /** Whether any byte of the request may have reached the back end. */
  bool mIsSent = true;
  int mHttpStatus = 0;
  std::string mBody;
  /** Whether the connection to the back end was lost. */
  bool mHasLostConnection = false;
  std::chrono::microseconds mTimeToFirstByte{ 0 };
  std::string mReason;
};

/** Callbacks of an execution. All are called on the execution's thread. */
struct ExecutionCallbacks
{
  std::function<void(const ExecutionResult&)> mOnEnd;
  /** The reader is slow; the stream from the back end has been cancelled until
   * the reader catches up. */
  std::function<void()> mOnPause;
  /** The reader has caught up. The argument must be called with the decision
   * whether the request may run again. */
  std::function<void(std::function<void(bool aIsAdmitted)>)> mOnResume;
};

/** Shared by all executions of a process; outlives them. */
struct ExecutionContext
{
  const global::IClock& mClock;
  net::ConnectionLimit& mBackEndConnections;
  QObject* mThreadContext;
  tracing::Tracer& mTracer;
  std::string mBackEnd;
  configuration::ProcessLimits mLimits;
};

/**
 * Runs one admitted request at the back end and forwards the response, with at
 * most one window of it buffered. If the reader of a stream is slow for too
 * long, the request at the back end is cancelled, and resumed from its offset
 * once the reader has caught up.
 */
class Execution : public std::enable_shared_from_this<Execution>
{
public:
  Execution(const ExecutionContext& aContext,
            v1::ExecuteRequest aRequest,
            std::shared_ptr<ExecuteStream> aStream,
            std::chrono::system_clock::time_point aDeadline,
            ExecutionCallbacks aCallbacks);

  /** Sends the request; runs on the traffic thread. */
  void Start();

private:
  void SendRequest();
  net::HttpCallRequest MakeRequest() const;
  void ForwardResponse();
  void ForwardHead();
  void ForwardChunk(const QByteArray& aData);
  void PushFailure(global::ErrorKind aKind, const std::string& aMessage);
  void HandleEnd(const net::HttpOutcome& aOutcome);
  void HandleDisconnect();
  void CheckStall();
  void Pause();
  void Resume();
  void CancelAtBackEnd();
  void Finish(const ExecutionResult& aResult);
  bool IsStreamed() const { return !mRequest.stream_id().empty(); }
  bool IsTicketed() const { return mRequest.has_ticket(); }

  const ExecutionContext& mContext;
  v1::ExecuteRequest mRequest;
  std::shared_ptr<ExecuteStream> mStream;
  const std::chrono::system_clock::time_point mDeadline;
  ExecutionCallbacks mCallbacks;
  tracing::Span mSpan;
  std::unique_ptr<net::HttpCall> mCall;
  /** Created and deleted on the traffic thread. */
  QTimer* mStallTimer = nullptr;
  /** Position of the next chunk in the body of the response, in bytes. */
  uint64_t mOffset;
  bool mHasHead = false;
  bool mIsPaused = false;
  bool mIsResuming = false;
  bool mIsFinished = false;
  bool mIsTooLarge = false;
  /** The response is not streamed and has no Content-Length; it is complete
   * only if it parses as JSON. */
  bool mIsLengthUnknown = false;
  std::optional<net::HttpOutcome> mOutcome;
  global::TimePoint mSentAt{};
  global::TimePoint mStallDeadline = global::TimePoint::max();
  ExecutionResult mResult;
  std::shared_ptr<Execution> mSelf;
};

}
