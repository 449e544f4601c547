#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace beryllever::rankagent {

/** State of one rank of a lock-step group, as reported by its engine. */
struct RankState
{
  std::string mGroup;
  /** Changes whenever the group re-forms. */
  uint64_t mEpoch = 0;
  uint32_t mRank = 0;
  uint32_t mSize = 0;
  bool mIsOpen = false;
  /** Slowdown factor of the rank; 1 is normal speed. */
  double mPace = 1;
  /** Whether the rank is executing an order. */
  bool mIsBusy = false;
  /** Number of the last forward pass that was started. */
  uint64_t mStep = 0;
  uint64_t mMapVersion = 0;
  /** Version whose experts are completely copied, or 0. */
  uint64_t mPreparedVersion = 0;
  uint64_t mArmedVersion = 0;
  uint64_t mArmedStep = 0;
  /** Pass that the group must not start yet, or 0. */
  uint64_t mHeldStep = 0;
  /** Running and queued requests. */
  int mRequests = 0;
  /** The state was read from another machine and may be older than orders that
   * the rank has executed. */
  bool mMayLag = false;
};

/** Number of times that each expert was selected on a rank since its start. */
struct ExpertCounts
{
  uint64_t mStep = 0;
  uint64_t mEpoch = 0;
  /** By layer, then by expert. */
  std::vector<uint64_t> mCounts;
};

/** Experts held by one rank, by layer. */
using RankExperts = std::vector<std::vector<uint32_t>>;

/** A rank's part of the map in use. */
struct RankPlacement
{
  uint64_t mVersion = 0;
  RankExperts mExperts;
};

/** Experts by layer, then by rank. */
using ExpertMap = std::vector<std::vector<std::vector<uint32_t>>>;

/** Operation of an order to a rank. */
enum class RankOperation
{
  /** Copies the experts of a map that the rank does not hold yet. */
  Prepare,
  /** Schedules the switch to a prepared map at the start of a pass. */
  Arm,
  Disarm,
  /** Prevents the group from starting a pass. */
  Hold,
  /** Allows a held pass to start. */
  Release,
};

/** A map that ranks of a group have been told of. */
struct KnownMap
{
  uint64_t mEpoch = 0;
  uint64_t mVersion = 0;
  ExpertMap mMap;
};

/** Order to a rank, executed only in the given epoch. */
struct RankOrder
{
  RankOperation mOperation = RankOperation::Prepare;
  uint64_t mEpoch = 0;
  uint64_t mVersion = 0;
  uint64_t mStep = 0;
  ExpertMap mMap;
  /** Earlier map from which mMap differs little, if agents are expected to know
   * it; they are then told the differences only. */
  std::shared_ptr<const KnownMap> mBase;
};

}
