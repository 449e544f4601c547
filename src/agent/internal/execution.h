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

/** How a request to the back end has ended. */
struct ExecutionResult
{
  /** Whether the back end's whole answer was received. */
  bool mIsComplete = false;
  /** Whether any byte of the request may have reached the back end. */
  bool mIsSent = true;
  int mHttpStatus = 0;
  std::string mBody;
  /** Whether the connection to the back end broke. */
  bool mIsBroken = false;
  std::chrono::microseconds mFirstByte{ 0 };
  std::string mReason;
};

/** Tells the control thread of an execution. All are called on the execution's
 * thread. */
struct ExecutionEvents
{
  std::function<void(const ExecutionResult&)> mOnEnd;
  /** The reader is slow and the back end's stream has been cancelled for now.
   */
  std::function<void()> mOnPause;
  /** The reader has caught up; the answer comes through the argument. */
  std::function<void(std::function<void(bool aIsAdmitted)>)> mOnResume;
};

/** What executions of a process share. Lives as long as any of them. */
struct ExecutionContext
{
  const global::IClock& mClock;
  QNetworkAccessManager& mManager;
  QObject* mThreadContext;
  tracing::Tracer& mTracer;
  std::string mBackEnd;
  configuration::ProcessLimits mLimits;
};

/**
 * Runs one admitted request at the back end and passes the answer on. At most
 * one window of the answer is held; a reader that stays behind makes the back
 * end's stream be cancelled, and resumed from its offset when the reader has
 * caught up.
 */
class Execution : public std::enable_shared_from_this<Execution>
{
public:
  Execution(const ExecutionContext& aContext,
            v1::ExecuteRequest aRequest,
            std::shared_ptr<ExecuteStream> aStream,
            std::chrono::system_clock::time_point aDeadline,
            ExecutionEvents aEvents);

  /** Sends the request; runs on the traffic thread. */
  void Start();

private:
  void Send();
  net::HttpCallRequest MakeRequest() const;
  void Relay();
  void SendHead();
  void SendChunk(const QByteArray& aData);
  void PushFailure(global::ErrorKind aKind, const std::string& aMessage);
  void HandleEnd(const net::HttpOutcome& aOutcome);
  void HandleGone();
  void CheckStall();
  void Pause();
  void Resume();
  void CancelAtBackEnd();
  void Conclude(const ExecutionResult& aResult);
  bool IsStreamed() const { return !mRequest.stream_id().empty(); }
  bool IsTicketed() const { return mRequest.has_ticket(); }

  const ExecutionContext& mContext;
  v1::ExecuteRequest mRequest;
  std::shared_ptr<ExecuteStream> mStream;
  const std::chrono::system_clock::time_point mDeadline;
  ExecutionEvents mEvents;
  tracing::Span mSpan;
  std::unique_ptr<net::HttpCall> mCall;
  /** Made and deleted on the traffic thread. */
  QTimer* mStallTimer = nullptr;
  uint64_t mOffset;
  bool mHasHead = false;
  bool mIsPaused = false;
  bool mIsResuming = false;
  bool mIsOver = false;
  bool mIsTooLarge = false;
  /** A document without a stated length; whole only if it parses. */
  bool mIsUnbounded = false;
  std::optional<net::HttpOutcome> mOutcome;
  global::TimePoint mSentAt{};
  global::TimePoint mStallDeadline = global::TimePoint::max();
  ExecutionResult mResult;
  std::shared_ptr<Execution> mSelf;
};

}
