#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace beryllever::global {

/** Random number that no other process is expected to draw; never zero. */
uint64_t
RandomIdentifier();

/** Lower-case hexadecimal text of the given number of bytes, drawn at random.
 */
std::string
RandomHex(size_t aBytes);

}
