#include "quarantine/soundparts.h"

namespace beryllever::quarantine {

SoundParts::SoundParts(size_t aMaxParts)
  : mMaxParts(aMaxParts)
{
}

void
SoundParts::Add(PromptPart aPart, global::TimePoint aSeenAt)
{
  if (const auto it = mPlaces.find(aPart); it != mPlaces.end()) {
    it->second->mSeenAt = aSeenAt;
    mParts.splice(mParts.begin(), mParts, it->second);
    return;
  }
  mParts.push_front({ aPart, aSeenAt });
  mPlaces[aPart] = mParts.begin();
  if (mParts.size() > mMaxParts) {
    mPlaces.erase(mParts.back().mPart);
    mParts.pop_back();
  }
}

void
SoundParts::Remove(PromptPart aPart)
{
  if (const auto it = mPlaces.find(aPart); it != mPlaces.end()) {
    mParts.erase(it->second);
    mPlaces.erase(it);
  }
}

bool
SoundParts::WasSeenAfter(PromptPart aPart, global::TimePoint aTime) const
{
  const auto it = mPlaces.find(aPart);
  return it != mPlaces.end() && it->second->mSeenAt > aTime;
}

}
