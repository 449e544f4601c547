#include "streams/chunksequencer.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <random>
#include <vector>

using beryllever::streams::ChunkSequencer;

TEST_GROUP(ChunkSequencer){};

TEST(ChunkSequencer, DiscardsDuplicatesAndOverlaps)
{
  ChunkSequencer sequencer(0, 100);

  std::string text = sequencer.Add(0, "abc");
  text += sequencer.Add(0, "abc");
  text += sequencer.Add(2, "cde");

  CHECK_EQUAL(std::string("abcde"), text);
}

TEST(ChunkSequencer, ResumedResponseStartsAtItsOffset)
{
  ChunkSequencer sequencer(3, 100);

  CHECK_EQUAL(std::string("de"), sequencer.Add(0, "abcde"));
  sequencer.SetLength(5);
  CHECK(sequencer.IsComplete());
}

TEST(ChunkSequencer, DropsChunksBeyondTheBufferLimit)
{
  ChunkSequencer sequencer(0, 4);

  sequencer.Add(10, "abcdef");

  CHECK(sequencer.HasDroppedChunks());
  CHECK_EQUAL(0u, sequencer.BufferedBytes());
}

TEST(ChunkSequencer, ReassemblesChunksInAnyOrder)
{
  for (unsigned seed = 1; seed <= 500; ++seed) {
    std::mt19937 random(seed);
    std::string whole;
    std::vector<std::pair<uint64_t, std::string>> chunks;
    for (int i = 0; i < 30; ++i) {
      const std::string bytes(1 + random() % 9,
                              static_cast<char>('a' + i % 26));
      chunks.emplace_back(whole.size(), bytes);
      if (random() % 3 == 0) {
        chunks.emplace_back(whole.size(), bytes);
      }
      whole += bytes;
    }
    std::shuffle(chunks.begin(), chunks.end(), random);
    ChunkSequencer sequencer(0, 10000);
    std::string text;
    for (const auto& [offset, bytes] : chunks) {
      text += sequencer.Add(offset, bytes);
    }

    CHECK_EQUAL(whole, text);
    CHECK_EQUAL(0u, sequencer.BufferedBytes());
  }
}
