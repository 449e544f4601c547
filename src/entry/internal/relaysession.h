#pragma once

#include "entry/internal/session.h"
#include "streams/chunksequencer.h"
#include "streams/eventframer.h"
#include "transport/clientstream.h"

#include <optional>

namespace beryllever::entry {

/** Position from which a caller resumes a streamed response, if it does. */
using ResumePosition = std::optional<v1::StreamPosition>;

/**
 * A request that may run more than once: a chat, which only runs a model, or a
 * call whose route is idempotent. A refused or failed attempt is retried at
 * another endpoint; an interrupted streamed response is resumed at its endpoint
 * after the last byte that was forwarded.
 */
class RelaySession : public Session
{
public:
  RelaySession(SessionContext& aContext,
               net::HttpExchange* aExchange,
               CallerRequest aRequest,
               bool aIsStreamed,
               ResumePosition aResumePosition);

protected:
  void Begin() override;
  void HandleDisconnect() override;

private:
  using Call = transport::ClientStream<v1::ExecuteRequest, v1::ExecuteUpdate>;

  void Acquire(bool aIsRetry);
  void HandleDecision(const Decision& aDecision);
  void Execute(const Placement& aPlacement);
  v1::ExecuteRequest MakeRequest() const;
  void HandleUpdate(uint64_t aAttempt, v1::ExecuteUpdate aUpdate);
  void HandleHead(const v1::ExecuteHead& aHead);
  void HandleChunk(v1::ExecuteChunk aChunk);
  void HandleEnd(const v1::ExecuteEnd& aEnd);
  void HandleFailure(const global::Error& aError);
  void HandleCallEnd(uint64_t aAttempt, const grpc::Status& aStatus);
  void HandleDeadline();
  void ReadNext();
  void PauseReading();
  /** Releases the placement while the caller does not read; ReadNext acquires
   * it again. */
  void Park();
  void TryResume(const global::Error& aError);
  void TryOtherEndpoint(const global::Error& aError);
  void EndWithError(const global::Error& aError);
  void EndAttempt(PlacementResult aResult);
  std::string MakeEventId(uint64_t aOffset) const;

  const bool mIsStreamed;
  std::string mStreamId;
  std::string mEndpoint;
  std::string mAffinityKey;
  std::set<std::string> mTriedEndpoints;
  streams::ChunkSequencer mSequencer;
  streams::EventFramer mFramer;
  std::shared_ptr<Call> mCall;
  std::string mPlacementAddress;
  uint64_t mAttempt = 0;
  /** Whether only mEndpoint may be used, because a stream is resumed at the
   * endpoint where it began. */
  bool mIsEndpointFixed = false;
  bool mHasHead = false;
  bool mIsEventStream = false;
  bool mHasData = false;
  bool mIsReadingPaused = false;
  /** The placement has been released because the caller reads too slowly. */
  bool mIsParked = false;
  bool mIsFinished = false;
  /** An earlier attempt may have run, so an error response must not state that
   * the request has not run. */
  bool mMayHaveRun = false;
  global::TimePoint mParkDeadline = global::TimePoint::max();
  global::TimePoint mResumeDeadline = global::TimePoint::max();
};

}
