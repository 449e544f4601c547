#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace beryllever::streams {

/**
 * Limits the memory reserved for requests, per process and per workspace. A
 * reservation covers the most that a stream may buffer, so that a stream which
 * has started is never aborted for lack of memory. Thread-safe.
 */
class MemoryBudget
{
public:
  /** The limit of one workspace is a fraction of the limit of the process. */
  MemoryBudget(int64_t aProcessBytes, double aWorkspaceFraction);

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
