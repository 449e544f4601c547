#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace beryllever::streams {

/**
 * Cuts a stream of server-sent events into whole events and gives each an id
 * that names the offset behind it, so that a caller can go on from its last
 * event.
 */
class EventFramer
{
public:
  using MakeId = std::function<std::string(uint64_t aOffset)>;

  EventFramer(uint64_t aOffset, MakeId aMakeId);

  /** Takes bytes in order and returns the whole events with their ids. */
  std::string Add(const std::string& aBytes);
  /** Whether the last whole event is the one that ends an answer. */
  bool HasEnded() const { return mHasEnded; }
  /** Bytes of an event whose end has not come yet. */
  size_t BufferedBytes() const { return mPartial.size(); }

private:
  uint64_t mOffset;
  MakeId mMakeId;
  std::string mPartial;
  bool mHasEnded = false;
};

}
