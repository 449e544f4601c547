#pragma once

#include "mesh.grpc.pb.h"
#include "rankagent/internal/groupport.h"

namespace beryllever::rankagent {

/** Writes samples of one rank for a reader that samples it again and again:
 * only what has changed since the reader's last sample. */
class SampleWriter
{
public:
  /** aSeed distinguishes this run of the process from others. */
  explicit SampleWriter(uint64_t aSeed);

  void Write(const RankSample& aSample,
             const mesh::v1::SampleRequest& aRequest,
             mesh::v1::SampleReply& aReply);

private:
  void WriteCounts(const std::vector<uint64_t>& aCounts,
                   uint64_t aKnownCounts,
                   mesh::v1::SampleReply& aReply);

  /** Names the counts that were written last. */
  uint64_t mCountsName;
  std::vector<uint64_t> mCounts;
};

/** Reads the samples that a SampleWriter has written. */
class SampleReader
{
public:
  mesh::v1::SampleRequest MakeRequest(SampleDepth aDepth) const;
  /** Returns nullopt if the rank could not be read. */
  std::optional<RankSample> Read(const mesh::v1::SampleReply& aReply);

private:
  /** Returns no counts if they cannot be told from the reply. */
  std::vector<uint64_t> ReadCounts(const mesh::v1::SampleReply& aReply);

  uint64_t mCountsName = 0;
  std::vector<uint64_t> mCounts;
  bool mHasExperts = false;
  uint64_t mEpoch = 0;
  uint64_t mMapVersion = 0;
  RankExperts mExperts;
};

}
