#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace beryllever::global {

/** Random number that no other process is expected to draw; never zero. */
uint64_t
RandomIdentifier();

/**
 * Number of a process's life. It grows with each start at the same address as
 * far as the VM's wall clock does.
 */
uint64_t
NewIncarnation();

/** Lower-case hexadecimal text of the given number of bytes, drawn at random.
 */
std::string
RandomHex(size_t aBytes);

}
