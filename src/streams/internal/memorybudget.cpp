#include "streams/memorybudget.h"

namespace beryllever::streams {

MemoryBudget::MemoryBudget(int64_t aProcessBytes, double aWorkspaceShare)
  : mProcessBytes(aProcessBytes)
  , mWorkspaceBytes(static_cast<int64_t>(static_cast<double>(aProcessBytes) *
                                         aWorkspaceShare))
{
}

bool
MemoryBudget::Reserve(const std::string& aWorkspace, int64_t aBytes)
{
  const std::lock_guard lock(mMutex);
  int64_t& held = mByWorkspace[aWorkspace];
  if (mHeldBytes + aBytes > mProcessBytes || held + aBytes > mWorkspaceBytes) {
    if (held == 0) {
      mByWorkspace.erase(aWorkspace);
    }
    return false;
  }
  held += aBytes;
  mHeldBytes += aBytes;
  return true;
}

void
MemoryBudget::Return(const std::string& aWorkspace, int64_t aBytes)
{
  const std::lock_guard lock(mMutex);
  mHeldBytes -= aBytes;
  const auto it = mByWorkspace.find(aWorkspace);
  it->second -= aBytes;
  if (it->second == 0) {
    mByWorkspace.erase(it);
  }
}

int64_t
MemoryBudget::HeldBytes() const
{
  const std::lock_guard lock(mMutex);
  return mHeldBytes;
}

}
