#pragma once

#include "gateway/internal/admission.h"
#include "gateway/internal/attempt.h"
#include "gateway/internal/requestwait.h"
#include "gateway/internal/responseforwarder.h"
#include "gateway/internal/trafficcontext.h"

#include <QTimer>

namespace beryllever::gateway {

/**
 * Handles one request of a caller, from its arrival to the end of the response:
 * finds the route, selects an endpoint, retries on other endpoints as far as
 * the route allows it, and forwards the response. Lives on the traffic thread.
 */
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(TrafficContext& aContext,
           std::shared_ptr<net::HttpServerConnection> aCaller,
           net::ServerRequest aRequest,
           std::function<void()> aOnEnd);

  void Start();
  /** Id that the caller gave the request. */
  const std::string& Id() const { return mMetadata.mRequestId; }
  /** Ends the request at once, because the process stops. */
  void HandleStop();
  /** Cancels all attempts, because the caller has disconnected. */
  void HandleCallerGone();
  /** Resumes reading from the endpoint, because the caller has read the data
   * written so far. */
  void HandleCallerDrained();

private:
  /** Looks up the route and selects a pool. If the request may not be served,
   * responds with the reason and returns false. */
  bool TryAdmit();
  void StartDeadlineTimer();
  /** Refuses a request that may not be complete before the process ends. */
  void RefuseForStop();
  /** Sends the request to an endpoint, queues it or fails it. */
  void PlaceRequest();
  /** Selects an endpoint that the request has not been sent to. */
  Placement FindPlace(bool aMayQueueAtEndpoint = true);
  /** Queues the request, or fails it if it may not wait. */
  void WaitForEndpoint();
  /** Returns false if the request has to stay in the queue. */
  bool TryPlaceQueued();
  void HandleQueueRefusal(QueueRefusal aRefusal);
  /** Ends a request that no further endpoint will get: aborts a response that
   * has begun, or else responds with 502 if an ended attempt may have run the
   * request and with 503 if not. */
  void FailRequest(const std::string& aReason,
                   std::optional<milliseconds> aRetryAfter = {});
  /** Notes for the quarantine of prompt parts that the endpoint's connection
   * has ended. */
  void RecordBreak();

  void Send(const published::Endpoint& aEndpoint);
  std::string SerializeRequest(const published::Endpoint& aEndpoint) const;
  /** Handlers of the response to the attempt. */
  net::HttpClientConnection::Handlers ResponseHandlers(const Attempt& aAttempt);
  /** Ends the other attempt if this is the stalled one. Returns whether this
   * attempt is open. */
  bool TryMakeCurrent(const Attempt* aAttempt);
  /** Ends the stalled attempt if its response cannot serve the request. Returns
   * whether it did. */
  bool EndIfUnusable(const net::AnswerHead& aHead);
  void HandleHead(const net::AnswerHead& aHead);
  void HandleBody(std::string_view aBytes);
  /** Handles data of the stalled attempt, which becomes the current one if it
   * completes an event. */
  void HandleStalledBody(std::string_view aBytes);
  void FailStalledAttempt(const std::string& aReason);
  /** Whether an attempt that ends so has a whole response. */
  bool IsUsableEnd(const Attempt& aAttempt, net::AnswerEnd aEnd) const;
  /** Buffers data of a response that is not being forwarded. */
  void BufferBody(std::string_view aBytes);
  void HandleEnd(net::AnswerEnd aEnd);
  void HandleComplete();
  void HandleNotExecuted();
  void HandleBrokenAttempt(const std::string& aReason);
  void HandleAttemptTimeout();
  /** Starts a second attempt if an endpoint has a free slot. Of three, the
   * second one ends. */
  void TryHedge(milliseconds aSilence, milliseconds aLimit);
  void HandleDeadline();

  bool IsEventStream() const;
  /** Whether an event stream that ended in good order was broken off. */
  bool IsBrokenOffStream(const Attempt& aAttempt) const;
  /** Whether a second attempt that ended in order may have been broken off. */
  bool IsBrokenOffResumption() const;
  /** Whether a request that may have run can be retried; consumes a retry of
   * the pool if so. */
  bool TryConsumeRetry() const;
  /** Whether attempts and time are left for another attempt. */
  bool CanRetry() const;
  /** Ends the current attempt. */
  void EndAttempt(EndpointOutcome aOutcome);
  void End(std::unique_ptr<Attempt> aAttempt, EndpointOutcome aOutcome);
  /** Ends the current attempt; the stalled one becomes the current one. */
  void ResumeStalledAttempt();
  /** Ends the stalled attempt, if there is one; the current one takes over. */
  void EndStalledAttempt(EndpointOutcome aOutcome);
  /** Retries on another endpoint, or fails the request if no retry is left. */
  void Retry(const std::string& aReason);
  void ForwardHead();
  void ForwardBody(std::string_view aBytes);
  /** Whether these bytes of the second attempt continue the response; buffers
   * them or ends the attempt if not. */
  bool CanTakeOver(const std::string& aBytes);
  /** Sends a response that the gateway generates itself. */
  void RespondLocally(unsigned aStatus,
                      const std::string& aReason,
                      std::optional<milliseconds> aRetryAfter = {});
  /** Breaks off a response that has begun, so that the caller does not take it
   * for complete. */
  void AbortResponse(const std::string& aReason);
  void Finish(unsigned aStatus, const std::string& aOutcome);
  void LogEnd(unsigned aStatus, const std::string& aOutcome) const;

  TrafficContext& mContext;
  std::shared_ptr<net::HttpServerConnection> mCaller;
  const net::ServerRequest mRequest;
  std::function<void()> mOnEnd;
  std::shared_ptr<const published::Snapshot> mSnapshot;
  RequestMetadata mMetadata;
  Admission mAdmission;
  std::string mPool;
  bool mHasCallerDeadline = false;
  RequestWait mWait;
  std::set<std::string> mTriedEndpoints;
  int mAttempts = 0;
  std::unique_ptr<Attempt> mAttempt;
  /** Attempt that has sent no data in time. It stays open beside a second one;
   * the first of both that continues the response goes on alone. */
  std::unique_ptr<Attempt> mStalledAttempt;
  /** An attempt other than the current one may have run the request: its
   * response was broken or invalid, or it was retried after a server error or
   * because no data came in time. Says nothing about the attempt in progress.
   */
  bool mMayHaveExecuted = false;
  /** An endpoint has stated that it did not run the request. */
  bool mWasRefused = false;
  bool mIsFinished = false;
  std::string mLastFailure;
  std::string mLastEndpoint;
  ResponseForwarder mResponse;
  QTimer mDeadlineTimer;
  QTimer mAttemptTimer;
};

}
