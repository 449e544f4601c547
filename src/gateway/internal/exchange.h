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
  /** Cancels the attempt in progress, because the caller has disconnected. */
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
  /** Makes the attempt that has sent something the current one. Returns false
   * if the attempt has ended. */
  bool Select(const Attempt* aAttempt);
  /** Ends the silent attempt if its response cannot serve the request, so that
   * the current attempt goes on. */
  bool EndIfUnusable(const net::AnswerHead& aHead);
  void HandleHead(const net::AnswerHead& aHead);
  void HandleBody(std::string_view aBytes);
  /** Forwards data of the silent attempt, which goes on if an event has become
   * complete. */
  void HandleSilentBody(std::string_view aBytes);
  /** Buffers data of a response that is not being forwarded. */
  void BufferBody(std::string_view aBytes);
  void HandleEnd(net::AnswerEnd aEnd);
  void HandleComplete();
  void HandleNotExecuted();
  void HandleBrokenAttempt(const std::string& aReason);
  void HandleAttemptTimeout();
  /** Tries another endpoint if one has room, and keeps the attempt that was
   * silent first. */
  void TryBesideSilentAttempt(milliseconds aSilence, milliseconds aLimit);
  void HandleDeadline();

  bool IsEventStream() const;
  /** Whether an event stream that ended in good order was broken off. */
  bool IsBrokenOffStream(const Attempt& aAttempt) const;
  /** Whether a request that may have run can be retried; consumes a retry of
   * the pool if so. */
  bool TryConsumeRetry() const;
  /** Whether attempts and time are left for another attempt. */
  bool CanRetry() const;
  /** Ends the current attempt. */
  void EndAttempt(EndpointOutcome aOutcome);
  void End(std::unique_ptr<Attempt> aAttempt, EndpointOutcome aOutcome);
  /** Ends the current attempt and goes on with the silent one. */
  void ReturnToSilentAttempt();
  /** Ends the silent attempt, if there is one; the current one takes over. */
  void EndSilentAttempt(EndpointOutcome aOutcome);
  /** Retries on another endpoint, or fails the request if no retry is left. */
  void Retry(const std::string& aReason);
  void ForwardHead();
  void ForwardBody(std::string_view aBytes);
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
  /** Attempt that has sent no data in time. It stays open while another
   * endpoint is tried; the first of both that contributes to the response goes
   * on. */
  std::unique_ptr<Attempt> mSilentAttempt;
  /** An attempt that has ended may have run the request: its response was
   * broken or invalid, or it was retried after a server error or because no
   * data came in time. Says nothing about the attempt in progress. */
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
