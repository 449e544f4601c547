#pragma once

#include "steplease/schedule.h"

#include <cstdint>
#include <string>
#include <vector>

namespace beryllever::steplease {

/** Identifies one lead of a group; unique to it. */
struct Epoch
{
  uint64_t mCounter = 0;
  std::string mVm;
  uint64_t mIncarnation = 0;

  // clang-tidy 14 mistakes the defaulted comparison for a literal zero.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Epoch&) const = default;
};

/** Incarnations of the agents of all ranks, in the order of the ranks. */
using Incarnations = std::vector<uint64_t>;

/** Asks a rank to refuse the requests of lower epochs. */
struct PromiseRequest
{
  Epoch mEpoch;
  int mRank = 0;
  /** The incarnations that the lead addresses. */
  Incarnations mIncarnations;

  // clang-tidy 14 mistakes the defaulted comparison for a literal zero.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const PromiseRequest&) const = default;
};

/** A rank's answer to a request for a promise. */
struct PromiseReply
{
  Epoch mEpoch;
  int mRank = 0;
  bool mIsPromised = false;
  uint64_t mIncarnation = 0;
  /** The highest epoch that the rank has promised. */
  Epoch mPromised;
  Schedule mSchedule;

  // clang-tidy 14 mistakes the defaulted comparison for a literal zero.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const PromiseReply&) const = default;
};

/** Grants a rank the expert maps of steps. */
struct GrantRequest
{
  Epoch mEpoch;
  int mRank = 0;
  uint64_t mIncarnation = 0;
  Schedule mSchedule;

  // clang-tidy 14 mistakes the defaulted comparison for a literal zero.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const GrantRequest&) const = default;
};

}
