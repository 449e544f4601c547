#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace beryllever::gateway {

/**
 * Splits the bytes of a server-sent event stream into complete events. After
 * the stream is resumed on another endpoint, drops the events that have already
 * been forwarded.
 */
class EventAssembler
{
public:
  /** Appends received bytes and returns the events that they complete,
   * unchanged. After a resumption, leaves out the events whose numeric id is
   * not above LastId(). */
  std::string Append(std::string_view aBytes);
  /** Whether Append would return an event, new or not. */
  bool CompletesEvent(std::string_view aBytes) const;
  /** Returns the line ends after the last complete event, for the end of a
   * stream. */
  std::string TakeRemainder();
  /** Whether the bytes received last belong to an event that is not complete.
   */
  bool IsInsideEvent() const
  {
    return mBuffer.find_first_not_of("\r\n") != std::string::npos;
  }
  /** Discards a partial event; another endpoint continues after LastId(). */
  void BeginResumption();
  /** Bytes of the event that is not complete yet. */
  size_t PendingBytes() const { return mBuffer.size(); }
  /** Id of the last forwarded event that has a numeric id. */
  std::optional<int64_t> LastId() const { return mLastId; }
  /** Whether a resumed stream skipped a numeric id. */
  bool HasGap() const { return mHasGap; }

private:
  bool ShouldForward(std::string_view aEvent);

  std::string mBuffer;
  std::optional<int64_t> mLastId;
  bool mIsResumed = false;
  bool mHasGap = false;
};

}
