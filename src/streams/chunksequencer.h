#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace beryllever::streams {

/**
 * Reassembles the chunks of one response. A chunk is identified by the offset
 * of its first byte; chunks may be delayed, duplicated, overlapping or out of
 * order.
 */
class ChunkSequencer
{
public:
  /** Starts at an offset, for a caller that already has the bytes before it. */
  explicit ChunkSequencer(uint64_t aOffset, size_t aMaxBufferedBytes);

  /** Adds a chunk and returns the bytes that have become contiguous. */
  std::string Add(uint64_t aOffset, std::string aBytes);
  /** Sets the length of the whole response. */
  void SetLength(uint64_t aLength) { mLength = aLength; }

  /** Offset of the next byte to be returned. */
  uint64_t NextOffset() const { return mNextOffset; }
  bool IsComplete() const { return mNextOffset == mLength; }
  /** Whether the buffer limit has caused a chunk to be dropped; the response
   * must then be resumed at NextOffset. */
  bool HasDroppedChunks() const { return mHasDroppedChunks; }
  size_t BufferedBytes() const { return mBufferedBytes; }

private:
  static constexpr uint64_t kUnknownLength = UINT64_MAX;

  void Buffer(uint64_t aOffset, std::string aBytes);

  uint64_t mNextOffset;
  uint64_t mLength = kUnknownLength;
  size_t mMaxBufferedBytes;
  size_t mBufferedBytes = 0;
  bool mHasDroppedChunks = false;
  std::map<uint64_t, std::string> mBuffered;
};

}
