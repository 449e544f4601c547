#include "streams/chunksequencer.h"

namespace beryllever::streams {

ChunkSequencer::ChunkSequencer(uint64_t aOffset, size_t aMaxBufferedBytes)
  : mNextOffset(aOffset)
  , mMaxBufferedBytes(aMaxBufferedBytes)
{
}

std::string
ChunkSequencer::Add(uint64_t aOffset, std::string aBytes)
{
  if (aOffset > mNextOffset) {
    Buffer(aOffset, std::move(aBytes));
    return {};
  }
  std::string ready;
  const auto append = [&](uint64_t aStart, const std::string& aChunk) {
    const uint64_t known = mNextOffset - aStart;
    if (known < aChunk.size()) {
      ready.append(aChunk, known);
      mNextOffset = aStart + aChunk.size();
    }
  };
  append(aOffset, aBytes);
  while (!mBuffered.empty() && mBuffered.begin()->first <= mNextOffset) {
    const auto node = mBuffered.extract(mBuffered.begin());
    mBufferedBytes -= node.mapped().size();
    append(node.key(), node.mapped());
  }
  return ready;
}

void
ChunkSequencer::Buffer(uint64_t aOffset, std::string aBytes)
{
  const auto it = mBuffered.find(aOffset);
  const size_t known = it == mBuffered.end() ? 0 : it->second.size();
  if (aBytes.size() <= known) {
    return;
  }
  if (mBufferedBytes - known + aBytes.size() > mMaxBufferedBytes) {
    mHasDroppedChunks = true;
    return;
  }
  mBufferedBytes += aBytes.size() - known;
  mBuffered[aOffset] = std::move(aBytes);
}

}
