#pragma once

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

  void Add(PromptPart aPart);
  bool Contains(PromptPart aPart) const { return mPlaces.contains(aPart); }
  size_t Size() const { return mPlaces.size(); }

private:
  const size_t mMaxParts;
  /** The part seen last comes first. */
  std::list<PromptPart> mParts;
  std::unordered_map<PromptPart, std::list<PromptPart>::iterator> mPlaces;
};

}
