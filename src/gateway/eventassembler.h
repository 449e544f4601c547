#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace beryllever::gateway {

/**
 * Cuts the bytes of an event stream into whole events. After a resumption it
 * drops events that have been passed on already.
 */
class EventAssembler
{
public:
  /** Takes bytes; returns the whole events among them, byte for byte. */
  std::string Take(std::string_view aBytes);
  /** What is left after the last whole event; for the end of a stream. */
  std::string TakeRest();
  /** Drops the rest: another endpoint goes on after the last event. */
  void BeginResumption();
  /** Id of the last event passed on. */
  std::optional<int64_t> LastId() const { return mLastId; }
  /** Whether a resumed stream left out an event. */
  bool HasGap() const { return mHasGap; }

private:
  bool IsWanted(std::string_view aEvent);

  std::string mRest;
  std::optional<int64_t> mLastId;
  bool mIsResumed = false;
  bool mHasGap = false;
};

}
