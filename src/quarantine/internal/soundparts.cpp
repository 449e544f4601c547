#include "quarantine/soundparts.h"

namespace beryllever::quarantine {

SoundParts::SoundParts(size_t aMaxParts)
  : mMaxParts(aMaxParts)
{
}

void
SoundParts::Add(PromptPart aPart)
{
  if (const auto it = mPlaces.find(aPart); it != mPlaces.end()) {
    mParts.splice(mParts.begin(), mParts, it->second);
    return;
  }
  mParts.push_front(aPart);
  mPlaces[aPart] = mParts.begin();
  if (mParts.size() > mMaxParts) {
    mPlaces.erase(mParts.back());
    mParts.pop_back();
  }
}

}
