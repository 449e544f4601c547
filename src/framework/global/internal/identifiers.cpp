#include "framework/global/identifiers.h"

#include <algorithm>
#include <chrono>

namespace beryllever::global {

namespace {

std::mt19937_64&
Engine()
{
  thread_local std::mt19937_64 sEngine{ [] {
    std::random_device device;
    std::seed_seq seed{ device(), device(), device(), device() };
    return std::mt19937_64(seed);
  }() };
  return sEngine;
}

}

uint64_t
RandomIdentifier()
{
  return std::max<uint64_t>(1, Engine()());
}

uint64_t
NewIncarnation()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

std::string
RandomHex(size_t aBytes)
{
  constexpr char kDigits[] = "0123456789abcdef";
  std::uniform_int_distribution<size_t> digit(0, 15);
  std::string text(aBytes * 2, '0');
  std::generate(
    text.begin(), text.end(), [&] { return kDigits[digit(Engine())]; });
  return text;
}

}
