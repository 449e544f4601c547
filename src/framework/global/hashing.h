#pragma once

#include <cstdint>
#include <string_view>

namespace beryllever::global {

/** Hash that is equal in every process and version. */
uint64_t
StableHash(std::string_view aText, uint64_t aSeed = 0);

/** Weight of a node for a key in rendezvous hashing; the highest weight wins.
 */
uint64_t
RendezvousWeight(std::string_view aKey, std::string_view aNode);

}
