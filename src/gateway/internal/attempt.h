#pragma once

#include "gateway/internal/endpointconnections.h"
#include "gateway/internal/responseforwarder.h"
#include "gateway/requestcodec.h"
#include "published/snapshot.h"

namespace beryllever::gateway {

/** Time without data after which a second attempt is started for a resumable
 * stream. Longer than the stall of a group, and shorter than the 2 s after
 * which callers disconnect. */
constexpr milliseconds kStreamIdleTimeout{ 1750 };

/** What the head of a response says about its use for a request. */
enum class HeadKind
{
  Usable,
  /** It answers another request. */
  Mismatched,
  /** The endpoint states that it did not run the request. */
  NotExecuted,
  /** A success without the endpoint's signature or the request's id. */
  Unsigned,
  ServerError,
};

HeadKind
ClassifyHead(const net::AnswerHead& aHead,
             const ResponseMetadata& aMetadata,
             const std::string& aRequestId);

/** Name of the kind, for the log. */
std::string_view
NameOf(HeadKind aKind);

/** One attempt to serve a request at an endpoint. */
struct Attempt
{
  /** Shortest interval between checks of an attempt that has exceeded its time
   * limit without data. */
  static constexpr milliseconds kSilenceCheckInterval{ 100 };
  /** Longest such interval: callers wait for some seconds only. */
  static constexpr milliseconds kMaxSilenceCheckInterval{ 500 };

  /** Whether the response belongs to another request. */
  bool IsMismatched() const { return mHeadKind == HeadKind::Mismatched; }
  /** When the endpoint last sent a whole event, or data of a response that is
   * no event stream; when the request was sent if it has not. */
  global::TimePoint LastDataAt(const ResponseForwarder& aResponse) const;

  /** Whether data of the answer has come so long after its first event that
   * its endpoint does not crash as it begins to write. */
  bool HasOutlastedBegin(const ResponseForwarder& aResponse,
                         global::TimePoint aNow) const;
  /** Whether the endpoint had been silent so long that the break is probably
   * due to a stalled group. */
  bool WasStalled(const ResponseForwarder& aResponse,
                  global::TimePoint aNow) const;
  /** Whether the response is whole wherever it ends in order: its length is
   * stated, or it has no events. */
  bool MayEndAnywhere() const;
  /** Whether a forwarded event stream that ended in good order was broken off.
   * A resumed stream may have no more events. */
  bool IsBrokenOffStream(const ResponseForwarder& aResponse,
                         bool aIsResumed) const;
  /** Time without data after which a second attempt is started. aTime is the
   * time that the request had on arrival. */
  milliseconds Timeout(bool aIsEventStream,
                       bool aIsSilent,
                       global::TimePoint::duration aTime) const;
  /** Time until the next check of an attempt that has sent no data for aAge and
   * stalls after aLimit, or sooner if its endpoint's agent falls silent.
   */
  static milliseconds TimeToNextCheck(milliseconds aAge, milliseconds aLimit);

  published::Endpoint mEndpoint;
  LeasedConnection mLease;
  std::optional<net::AnswerHead> mHead;
  ResponseMetadata mMetadata;
  /** Part of the body that has not been forwarded. */
  std::string mBody;
  std::optional<HeadKind> mHeadKind;
  /** Bytes of responses to other requests. */
  size_t mDiscardedBytes = 0;
  bool mIsForwarded = false;
  /** The parts of the prompt are known to be sound. */
  bool mIsSound = false;
  global::TimePoint mSentAt{};
  global::TimePoint mHeadAt{};
  /** When data that is not forwarded yet last came. */
  global::TimePoint mBodyAt{};
};

}
