#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace beryllever::streams {

/**
 * Splits a stream of server-sent events into complete events and adds to each
 * an id with the offset of the byte after it, so that a caller can resume after
 * the last event that it received.
 */
class EventFramer
{
public:
  using MakeId = std::function<std::string(uint64_t aOffset)>;

  EventFramer(uint64_t aOffset, MakeId aMakeId);

  /** Appends bytes and returns the events that are complete, with their ids.
   */
  std::string Add(const std::string& aBytes);
  /** Whether the last complete event was the one that ends a response. */
  bool HasEnded() const { return mHasEnded; }
  /** Bytes of an event that is not complete yet. */
  size_t BufferedBytes() const { return mPartial.size(); }

private:
  uint64_t mOffset;
  MakeId mMakeId;
  std::string mPartial;
  bool mHasEnded = false;
};

}
