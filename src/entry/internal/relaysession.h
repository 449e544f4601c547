#pragma once

#include "entry/internal/session.h"
#include "streams/chunksequencer.h"
#include "streams/eventframer.h"
#include "transport/clientstream.h"

#include <optional>

namespace beryllever::entry {

/** Place in a streamed answer from which a caller goes on. */
using ResumeFrom = std::optional<v1::StreamPosition>;

/**
 * A request that may be sent again: a chat, or an idempotent call. A refused or
 * failed attempt is made elsewhere; a streamed answer that breaks off is
 * resumed at its endpoint from the last byte that was passed on.
 */
class RelaySession : public Session
{
public:
  RelaySession(SessionContext& aContext,
               net::HttpExchange* aExchange,
               CallerRequest aRequest,
               bool aIsStreamed,
               ResumeFrom aResumeFrom);

protected:
  void Begin() override;
  void HandleGone() override;

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
  void HoldBack();
  void Park();
  void TryResume(const global::Error& aError);
  void TryElsewhere(const global::Error& aError);
  void EndWithError(const global::Error& aError);
  void EndAttempt(PlacementEnd aEnd);
  std::string MakeEventId(uint64_t aOffset) const;

  const bool mIsStreamed;
  std::string mStreamId;
  std::string mEndpoint;
  std::string mAffinityKey;
  std::set<std::string> mTried;
  streams::ChunkSequencer mSequencer;
  streams::EventFramer mFramer;
  std::shared_ptr<Call> mCall;
  std::string mPlacedAt;
  uint64_t mAttempt = 0;
  bool mIsFixed = false;
  bool mHasHead = false;
  bool mIsEventStream = false;
  bool mHasBytes = false;
  bool mIsHeldBack = false;
  /** The placement has been returned while the caller reads slowly. */
  bool mIsParked = false;
  bool mIsOver = false;
  /** An earlier attempt may have run, so no refusal may claim that the request
   * has not. */
  bool mMayHaveRun = false;
  global::TimePoint mParkDeadline = global::TimePoint::max();
  global::TimePoint mResumeDeadline = global::TimePoint::max();
};

}
