#include "gateway/internal/attempt.h"

#include <boost/algorithm/string/predicate.hpp>

namespace beryllever::gateway {

namespace {

using std::chrono::duration_cast;

/** The same for an endpoint whose agent is silent too. Leaves the caller time
 * for an answer from another endpoint. */
constexpr milliseconds kSilentEndpointTimeout{ 700 };
/** Fraction of the request's timeout after which an idempotent request without
 * a response is retried on another endpoint. */
constexpr double kIdempotentTimeoutFraction = 0.35;
/** Longest time without data before an endpoint crashes. A group that stalls
 * breaks off its responses after a longer time. */
constexpr milliseconds kMaxSilence{ 1000 };
/** Time from the first event of a response, at least. An endpoint that crashes
 * as it begins to write may have sent several events until its process ends. */
constexpr milliseconds kSoundTime{ 300 };

}

HeadKind
ClassifyHead(const net::AnswerHead& aHead,
             const ResponseMetadata& aMetadata,
             const std::string& aRequestId)
{
  if (!aMetadata.mRequestId.empty() && aMetadata.mRequestId != aRequestId) {
    return HeadKind::Mismatched;
  }
  if (aMetadata.mIsNotExecuted) {
    return HeadKind::NotExecuted;
  }
  const bool isSuccess = aHead.mStatus / 100 == 2;
  if (isSuccess && (!aMetadata.mIsSigned || aMetadata.mRequestId.empty())) {
    return HeadKind::Unsigned;
  }
  return aHead.mStatus >= 500 ? HeadKind::ServerError : HeadKind::Usable;
}

std::string_view
NameOf(HeadKind aKind)
{
  switch (aKind) {
    case HeadKind::Usable:
      return "usable";
    case HeadKind::Mismatched:
      return "mismatched";
    case HeadKind::NotExecuted:
      return "not_executed";
    case HeadKind::Unsigned:
      return "unsigned";
    case HeadKind::ServerError:
      return "server_error";
  }
  return "unknown";
}

bool
Attempt::HasOutlastedBegin(const ResponseForwarder& aResponse,
                           global::TimePoint aNow) const
{
  const auto begin = aResponse.AttemptBegin();
  return mIsForwarded && begin && aNow - *begin >= kSoundTime;
}

bool
Attempt::WasStalled(const ResponseForwarder& aResponse,
                    global::TimePoint aNow) const
{
  const auto lastData = mIsForwarded ? aResponse.LastForward() : mHeadAt;
  return mHead && aNow - lastData > kMaxSilence;
}

bool
Attempt::IsBrokenOffStream(const ResponseForwarder& aResponse,
                           bool aIsResumed) const
{
  const auto type = mHead->mFields[net::http::field::content_type];
  const bool isEvents =
    type.empty() || boost::algorithm::istarts_with(type, "text/event-stream");
  const bool mayEndAnywhere =
    !isEvents || mHead->mLength || mHead->mStatus != 200;
  if (!mIsForwarded || mayEndAnywhere) {
    return false;
  }
  return aResponse.IsInsideEvent() ||
         (!mHead->mIsChunked && !aIsResumed && !aResponse.AttemptBegin());
}

milliseconds
Attempt::Timeout(bool aIsEventStream,
                 bool aIsSilent,
                 global::TimePoint::duration aTime) const
{
  const milliseconds timeout =
    aIsEventStream || mIsForwarded
      ? kStreamIdleTimeout
      : duration_cast<milliseconds>(aTime * kIdempotentTimeoutFraction);
  return aIsSilent ? std::min(timeout, kSilentEndpointTimeout) : timeout;
}

milliseconds
Attempt::TimeToNextCheck(milliseconds aAge, milliseconds aLimit)
{
  const milliseconds untilSilent =
    std::max(kSilentEndpointTimeout - aAge, kSilenceCheckInterval);
  return std::min(aLimit - aAge, untilSilent);
}

}
