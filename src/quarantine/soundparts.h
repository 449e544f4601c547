#pragma once

#include "framework/global/iclock.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace beryllever::quarantine {

/** Identifies a part of a prompt, the same in all requests that have it. */
using PromptPart = uint64_t;

/** The parts of prompts that were last seen to be sound; bounded. */
class SoundParts
{
public:
  explicit SoundParts(size_t aMaxParts);

  void Add(PromptPart aPart, global::TimePoint aSeenAt);
  void Remove(PromptPart aPart);
  bool Contains(PromptPart aPart) const { return mPlaces.contains(aPart); }
  /** Whether a part was seen to be sound after this time. */
  bool WasSeenAfter(PromptPart aPart, global::TimePoint aTime) const;
  size_t Size() const { return mPlaces.size(); }

private:
  struct SoundPart
  {
    PromptPart mPart = 0;
    global::TimePoint mSeenAt{};
  };

  const size_t mMaxParts;
  /** The part seen last comes first. */
  std::list<SoundPart> mParts;
  std::unordered_map<PromptPart, std::list<SoundPart>::iterator> mPlaces;
};

}
