#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace beryllever::streams {

/**
 * Puts the chunks of one answer in order. A chunk is known by the offset of its
 * first byte; chunks may come late, twice, overlapping or out of order.
 */
class ChunkSequencer
{
public:
  /** Starts at an offset, for a caller that has the bytes before it. */
  explicit ChunkSequencer(uint64_t aOffset, size_t aMaxHeldBytes);

  /** Takes a chunk and returns the bytes that can now be passed on in order. */
  std::string Add(uint64_t aOffset, std::string aBytes);
  /** States the length of the whole answer. */
  void SetLength(uint64_t aLength) { mLength = aLength; }

  /** Offset of the next byte to be passed on. */
  uint64_t NextOffset() const { return mNextOffset; }
  bool IsComplete() const { return mNextOffset == mLength; }
  /** Whether chunks had to be dropped; the answer must be resumed at Offset. */
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
