#include "streams/chunksequencer.h"

namespace beryllever::streams {

ChunkSequencer::ChunkSequencer(uint64_t aOffset, size_t aMaxHeldBytes)
  : mOffset(aOffset)
  , mMaxHeldBytes(aMaxHeldBytes)
{
}

std::string
ChunkSequencer::Take(uint64_t aOffset, std::string aBytes)
{
  if (aOffset > mOffset) {
    Hold(aOffset, std::move(aBytes));
    return {};
  }
  std::string ready;
  const auto append = [&](uint64_t aStart, const std::string& aChunk) {
    const uint64_t known = mOffset - aStart;
    if (known < aChunk.size()) {
      ready.append(aChunk, known);
      mOffset = aStart + aChunk.size();
    }
  };
  append(aOffset, aBytes);
  while (!mHeld.empty() && mHeld.begin()->first <= mOffset) {
    const auto node = mHeld.extract(mHeld.begin());
    mHeldBytes -= node.mapped().size();
    append(node.key(), node.mapped());
  }
  return ready;
}

void
ChunkSequencer::Hold(uint64_t aOffset, std::string aBytes)
{
  const auto it = mHeld.find(aOffset);
  const size_t known = it == mHeld.end() ? 0 : it->second.size();
  if (aBytes.size() <= known) {
    return;
  }
  if (mHeldBytes - known + aBytes.size() > mMaxHeldBytes) {
    mHasDropped = true;
    return;
  }
  mHeldBytes += aBytes.size() - known;
  mHeld[aOffset] = std::move(aBytes);
}

}
