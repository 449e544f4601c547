#include "framework/global/hashing.h"

#include <xxhash.h>

namespace beryllever::global {

uint64_t
StableHash(std::string_view aText, uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

uint64_t
RendezvousWeight(std::string_view aKey, std::string_view aNode)
{
  return StableHash(aNode, StableHash(aKey));
}

}
