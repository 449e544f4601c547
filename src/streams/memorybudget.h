#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace beryllever::streams {

/**
 * Bytes held for callers, bounded for the process and for each workspace. A
 * reservation is for the most that a stream may hold, so that a stream which
 * has begun never has to be cut off for lack of memory. Safe to call from any
 * thread.
 */
class MemoryBudget
{
public:
  /** The workspace's bound is a share of the process's, as a fraction of it. */
  MemoryBudget(int64_t aProcessBytes, double aWorkspaceShare);

  bool Reserve(const std::string& aWorkspace, int64_t aBytes);
  void Release(const std::string& aWorkspace, int64_t aBytes);

  int64_t ReservedBytes() const;

private:
  const int64_t mMaxProcessBytes;
  const int64_t mMaxWorkspaceBytes;
  mutable std::mutex mMutex;
  int64_t mReservedBytes = 0;
  std::map<std::string, int64_t> mReservedByWorkspace;
};

}
