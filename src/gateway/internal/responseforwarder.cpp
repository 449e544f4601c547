#include "gateway/internal/responseforwarder.h"

#include "gateway/internal/headerfields.h"

namespace beryllever::gateway {

namespace {

using std::chrono::duration_cast;

/** Bytes not yet read by the caller above which reading from the endpoint is
 * paused. */
constexpr size_t kMaxPendingBytes = 64 * 1024;
/** Largest event of a stream. */
constexpr size_t kMaxEventBytes = 256 * 1024;

}

ResponseForwarder::ResponseForwarder(
  const global::IClock& aClock,
  std::shared_ptr<net::HttpServerConnection> aCaller,
  global::TimePoint aArrival)
  : mClock(aClock)
  , mCaller(std::move(aCaller))
  , mArrival(aArrival)
{
}

void
ResponseForwarder::Begin(const net::AnswerHead& aHead)
{
  mLastForward = mClock.Now();
  mAttemptBegin.reset();
  if (HasBegun()) {
    return;
  }
  BeginWhole(aHead.mStatus);
  net::http::fields fields = aHead.mFields;
  RemoveHopByHopFields(fields);
  fields.erase(net::http::field::content_length);
  mCaller->BeginAnswer(mStatus, std::move(fields));
}

void
ResponseForwarder::BeginWhole(unsigned aStatus)
{
  mStatus = aStatus;
  mTimeToFirstByte = duration_cast<milliseconds>(mClock.Now() - mArrival);
}

ResumptionCheck
ResponseForwarder::CheckResumption(std::string_view aBytes) const
{
  if (!mIsEventStream) {
    return ResumptionCheck::Continues;
  }
  EventAssembler events = mEvents;
  events.BeginResumption();
  const bool hasEvent = !events.Append(aBytes).empty();
  if (events.HasGap()) {
    return ResumptionCheck::SkipsEvents;
  }
  return hasEvent ? ResumptionCheck::Continues : ResumptionCheck::NoEvent;
}

ForwardResult
ResponseForwarder::Write(std::string_view aBytes)
{
  if (mIsEventStream) {
    return WriteEvents(aBytes);
  }
  RecordForward();
  mCaller->WriteBody(aBytes);
  return ForwardResult::Forwarded;
}

ForwardResult
ResponseForwarder::WriteEvents(std::string_view aBytes)
{
  const std::string events = mEvents.Append(aBytes);
  if (mEvents.HasGap()) {
    return ForwardResult::SkippedEvents;
  }
  if (!events.empty()) {
    RecordForward();
    mCaller->WriteBody(events);
  }
  return mEvents.PendingBytes() > kMaxEventBytes ? ForwardResult::EventTooLarge
                                                 : ForwardResult::Forwarded;
}

void
ResponseForwarder::RecordForward()
{
  const auto now = mClock.Now();
  if (mHasBody) {
    mLongestPause =
      std::max(mLongestPause, duration_cast<milliseconds>(now - mLastForward));
  }
  mHasBody = true;
  mAttemptBegin = mAttemptBegin.value_or(now);
  mLastForward = now;
}

void
ResponseForwarder::End()
{
  if (mIsEventStream) {
    mCaller->WriteBody(mEvents.TakeRemainder());
  }
  mCaller->EndAnswer();
}

bool
ResponseForwarder::IsCallerBehind() const
{
  return mCaller->Pending() > kMaxPendingBytes;
}

}
