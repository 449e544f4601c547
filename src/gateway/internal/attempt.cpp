#include "gateway/internal/attempt.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>

namespace beryllever::gateway {

namespace {

using std::chrono::duration_cast;

/** Shorter limit if the endpoint's agent does not report either. Leaves the
 * caller time for a response of another endpoint. */
constexpr milliseconds kSilentEndpointTimeout{ 700 };
/** Fraction of the request's timeout after which a second attempt is started
 * for an idempotent request without a response. */
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

global::TimePoint
Attempt::LastDataAt(const ResponseForwarder& aResponse) const
{
  return mIsForwarded ? std::max(aResponse.LastForward(), mHeadAt)
                      : std::max({ mSentAt, mHeadAt, mBodyAt });
}

bool
Attempt::WasStalled(const ResponseForwarder& aResponse,
                    global::TimePoint aNow) const
{
  return mHead && aNow - LastDataAt(aResponse) > kMaxSilence;
}

bool
Attempt::MayEndAnywhere() const
{
  const auto type = mHead->mFields[net::http::field::content_type];
  const bool isEvents =
    type.empty() || boost::algorithm::istarts_with(type, "text/event-stream");
  return !isEvents || mHead->mLength || mHead->mStatus != 200;
}

bool
Attempt::IsBrokenOffStream(const ResponseForwarder& aResponse,
                           bool aIsResumed) const
{
  if (!mIsForwarded || MayEndAnywhere()) {
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
