#include "streams/memorybudget.h"

namespace beryllever::streams {

MemoryBudget::MemoryBudget(int64_t aProcessBytes, double aWorkspaceFraction)
  : mMaxProcessBytes(aProcessBytes)
  , mMaxWorkspaceBytes(static_cast<int64_t>(static_cast<double>(aProcessBytes) *
                                            aWorkspaceFraction))
{
}

bool
MemoryBudget::Reserve(const std::string& aWorkspace, int64_t aBytes)
{
  const std::lock_guard lock(mMutex);
  int64_t& held = mReservedByWorkspace[aWorkspace];
  if (mReservedBytes + aBytes > mMaxProcessBytes ||
      held + aBytes > mMaxWorkspaceBytes) {
    if (held == 0) {
      mReservedByWorkspace.erase(aWorkspace);
    }
    return false;
  }
  held += aBytes;
  mReservedBytes += aBytes;
  return true;
}

void
MemoryBudget::Release(const std::string& aWorkspace, int64_t aBytes)
{
  const std::lock_guard lock(mMutex);
  mReservedBytes -= aBytes;
  const auto it = mReservedByWorkspace.find(aWorkspace);
  it->second -= aBytes;
  if (it->second == 0) {
    mReservedByWorkspace.erase(it);
  }
}

int64_t
MemoryBudget::ReservedBytes() const
{
  const std::lock_guard lock(mMutex);
  return mReservedBytes;
}

}
