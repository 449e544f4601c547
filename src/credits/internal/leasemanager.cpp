#include "credits/leasemanager.h"

#include <algorithm>

namespace beryllever::credits {

namespace {

constexpr std::chrono::milliseconds kLeaseDuration{ 3000 };

}

LeaseManager::LeaseManager(const global::IClock& aClock)
  : mClock(aClock)
{
}

Lease
LeaseManager::Renew(const std::string& aEntry, const Demand& aDemand)
{
  ExpireLeases();
  LeaseHolder& holder = mHolders[aEntry];
  holder.mWanted = aDemand.mWanted;
  const Slots others = Committed() - CommittedTo(holder);
  const Slots free = std::max(0, mCapacity - others);
  const bool isContended = [&] {
    Slots wanted = 0;
    for (const auto& [name, other] : mHolders) {
      wanted += other.mWanted;
    }
    return wanted > mCapacity;
  }();
  const Slots ceiling = isContended ? std::min(free, FairShare()) : free;
  holder.mLease.mSlots = std::min(aDemand.mWanted, ceiling);
  holder.mLease.mDeadline = mClock.Now() + kLeaseDuration;
  return holder.mLease;
}

Admission
LeaseManager::Admit(const std::string& aEntry)
{
  ExpireLeases();
  if (mRunning >= mCapacity) {
    return Admission::Full;
  }
  LeaseHolder& holder = mHolders[aEntry];
  const bool hasLease = holder.mRunning < holder.mLease.mSlots;
  if (!hasLease && Committed() >= mCapacity) {
    return Admission::LeasedToOthers;
  }
  ++holder.mRunning;
  ++mRunning;
  return Admission::Admitted;
}

void
LeaseManager::Release(const std::string& aEntry)
{
  const auto it = mHolders.find(aEntry);
  if (it == mHolders.end() || it->second.mRunning == 0) {
    return;
  }
  --it->second.mRunning;
  --mRunning;
  ExpireLeases();
}

void
LeaseManager::RevokeLease(const std::string& aEntry)
{
  if (const auto it = mHolders.find(aEntry); it != mHolders.end()) {
    it->second.mLease = {};
    it->second.mWanted = 0;
    ExpireLeases();
  }
}

Slots
LeaseManager::Committed() const
{
  Slots sum = 0;
  for (const auto& [name, holder] : mHolders) {
    sum += CommittedTo(holder);
  }
  return sum;
}

void
LeaseManager::ExpireLeases()
{
  const global::TimePoint now = mClock.Now();
  for (auto& [name, holder] : mHolders) {
    if (now >= holder.mLease.mDeadline) {
      holder.mLease.mSlots = 0;
      holder.mWanted = 0;
    }
  }
  std::erase_if(mHolders, [&](const auto& aEntry) {
    return now >= aEntry.second.mLease.mDeadline && aEntry.second.mRunning == 0;
  });
}

Slots
LeaseManager::CommittedTo(const LeaseHolder& aHolder) const
{
  return std::max(aHolder.mLease.mSlots, aHolder.mRunning);
}

Slots
LeaseManager::FairShare() const
{
  const auto active =
    std::count_if(mHolders.begin(), mHolders.end(), [](const auto& aEntry) {
      return aEntry.second.mWanted > 0;
    });
  return std::max<Slots>(
    1, mCapacity / std::max<Slots>(1, static_cast<Slots>(active)));
}

}
