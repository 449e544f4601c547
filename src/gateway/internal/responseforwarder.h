#pragma once

#include "framework/global/iclock.h"
#include "framework/net/httpclientconnection.h"
#include "framework/net/httpserverconnection.h"
#include "gateway/eventassembler.h"

#include <optional>

namespace beryllever::gateway {

using std::chrono::milliseconds;

/** Result of forwarding a part of a response. */
enum class ForwardResult
{
  Forwarded,
  /** A resumed stream left out events, which are lost. */
  SkippedEvents,
  /** The endpoint does not end an event. */
  EventTooLarge,
};

/** What a resumption would do for the caller. */
enum class ResumptionCheck
{
  /** There is no new event yet. */
  NoEvent,
  /** Events are left out. */
  SkipsEvents,
  Continues,
};

/**
 * Forwards a response to the caller while it arrives, event by event if it is a
 * stream. Several attempts may contribute to the response; it keeps the head of
 * the first one.
 */
class ResponseForwarder
{
public:
  /** aArrival is when the request arrived. */
  ResponseForwarder(const global::IClock& aClock,
                    std::shared_ptr<net::HttpServerConnection> aCaller,
                    global::TimePoint aArrival);

  void SetEventStream(bool aIsEventStream) { mIsEventStream = aIsEventStream; }
  bool HasBegun() const { return mStatus != 0; }
  /** Forwards the head, or ignores it if the response has begun. */
  void Begin(const net::AnswerHead& aHead);
  /** Records that another attempt continues the response from now on. */
  void BeginContribution() { mAttemptBegin.reset(); }
  /** Records that a whole response is about to be sent by other means. */
  void BeginWhole(unsigned aStatus);
  ForwardResult Write(std::string_view aBytes);
  /** Whether the caller gets something new by these bytes, which is not so for
   * a part of an event that goes on. */
  bool CompletesEvent(std::string_view aBytes) const
  {
    return !mIsEventStream || mEvents.CompletesEvent(aBytes);
  }
  /** What the response of another endpoint that begins with these bytes does
   * for the caller. */
  ResumptionCheck CheckResumption(std::string_view aBytes) const;
  /** Discards a partial event; another attempt continues after LastEventId().
   */
  void BeginResumption() { mEvents.BeginResumption(); }
  void End();
  /** Whether a stream that ended now would have been broken off. */
  bool IsInsideEvent() const
  {
    return mIsEventStream && mEvents.IsInsideEvent();
  }

  /** Status of the response; 0 if it has not begun. */
  unsigned Status() const { return mStatus; }
  std::optional<int64_t> LastEventId() const { return mEvents.LastId(); }
  std::optional<milliseconds> TimeToFirstByte() const
  {
    return mTimeToFirstByte;
  }
  /** When the head or data was last forwarded. */
  global::TimePoint LastForward() const { return mLastForward; }
  /** When the current attempt contributed its first part of the body, if it
   * has. */
  std::optional<global::TimePoint> AttemptBegin() const
  {
    return mAttemptBegin;
  }
  /** Longest time between two parts of the body. */
  milliseconds LongestPause() const { return mLongestPause; }
  /** Whether the caller reads so slowly that no more data should be read from
   * the endpoint. */
  bool IsCallerBehind() const;

private:
  ForwardResult WriteEvents(std::string_view aBytes);
  void RecordForward();

  const global::IClock& mClock;
  const std::shared_ptr<net::HttpServerConnection> mCaller;
  const global::TimePoint mArrival;
  EventAssembler mEvents;
  bool mIsEventStream = false;
  bool mHasBody = false;
  std::optional<global::TimePoint> mAttemptBegin;
  unsigned mStatus = 0;
  std::optional<milliseconds> mTimeToFirstByte;
  global::TimePoint mLastForward{};
  milliseconds mLongestPause{ 0 };
};

}
