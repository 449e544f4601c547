#pragma once

#include "framework/net/httpserverconnection.h"
#include "gateway/eventassembler.h"
#include "gateway/internal/admission.h"
#include "gateway/internal/traffic.h"

#include <QTimer>

namespace beryllever::gateway {

/**
 * One request of a caller from its arrival to the end of its answer: finds its
 * route, chooses endpoints, sends it to as many as its kind allows and passes
 * the answer on. Lives on the traffic thread.
 */
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(Traffic& aTraffic,
           std::shared_ptr<net::HttpServerConnection> aCaller,
           net::ServerRequest aRequest,
           std::function<void()> aOnEnd);

  void Start();
  /** The caller has left; the work at the endpoint is cancelled. */
  void HandleCallerGone();
  /** The caller has taken what was written. */
  void HandleCallerDrained();

private:
  /** One sending of the request to an endpoint. */
  struct Attempt
  {
    published::Endpoint mEndpoint;
    LeasedConnection mLease;
    std::optional<net::AnswerHead> mHead;
    AnswerFacts mFacts;
    std::string mBody;
    /** The answer belongs to another request. */
    bool mIsForeign = false;
    bool mIsPassedOn = false;
    global::TimePoint mSentAt{};
  };

  /** Whether the published tables let the request be served. */
  bool TakeAdmission();
  void SetDeadlines();
  void Place();
  void WaitForTurn();
  void RefuseForNow(const std::string& aReason);

  void Send(const published::Endpoint& aEndpoint);
  std::string RequestText(const published::Endpoint& aEndpoint) const;
  net::HttpClientConnection::Handlers AnswerHandlers();
  void HandleHead(const net::AnswerHead& aHead);
  void HandleBody(std::string_view aBytes);
  void HandleEnd(net::AnswerEnd aEnd);
  void HandleWhole();
  void HandleNotRun();
  void HandleBroken(const std::string& aReason);
  void HandleAttemptTimeout();
  void HandleDeadline();

  bool IsEventStream() const;
  bool MayRepeat() const;
  bool MayAttemptAgain() const;
  void DropAttempt(EndpointOutcome aOutcome);
  void TryAgain(const std::string& aReason);
  void PassHead();
  void PassBody(std::string_view aBytes);
  void AnswerOwn(unsigned aStatus,
                 const std::string& aReason,
                 std::optional<milliseconds> aRetryAfter = {});
  void CutAnswer(const std::string& aReason);
  void Finish(unsigned aStatus, const std::string& aOutcome);
  milliseconds Left() const;
  milliseconds Elapsed() const;
  /** When a caller whose request has not run had best come back. */
  milliseconds RetryAfter();

  Traffic& mTraffic;
  std::shared_ptr<net::HttpServerConnection> mCaller;
  const net::ServerRequest mRequest;
  std::function<void()> mOnEnd;
  std::shared_ptr<const published::Snapshot> mSnapshot;
  RequestFacts mFacts;
  Admission mAdmission;
  std::string mPool;
  /** When the caller or the operators want the request to be over. */
  global::TimePoint mDeadline{};
  bool mHasCallerDeadline = false;
  global::TimePoint mWaitDeadline{};
  uint64_t mTicket = 0;
  std::set<std::string> mTried;
  int mAttempts = 0;
  std::unique_ptr<Attempt> mAttempt;
  /** Some endpoint may have run the request, or may be running it. */
  bool mMayHaveRun = false;
  /** An endpoint has said that it does not run the request. */
  bool mWasRefused = false;
  bool mHasBegunAnswer = false;
  bool mIsOver = false;
  unsigned mAnsweredStatus = 0;
  std::optional<milliseconds> mFirstByte;
  std::string mLastFailure;
  std::string mLastEndpoint;
  EventAssembler mEvents;
  QTimer mDeadlineTimer;
  QTimer mAttemptTimer;
};

}
