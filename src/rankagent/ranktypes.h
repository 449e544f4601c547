#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace beryllever::rankagent {

/** State of one rank of a lock-step group, as its engine reports it. */
struct RankState
{
  std::string mGroup;
  /** Changes whenever the group forms anew. */
  uint64_t mEpoch = 0;
  uint32_t mRank = 0;
  uint32_t mSize = 0;
  bool mIsOpen = false;
  /** How many times longer than usual the rank takes. */
  double mPace = 1;
  /** Whether an order is being carried out. */
  bool mIsBusy = false;
  /** Last pass that was begun. */
  uint64_t mStep = 0;
  uint64_t mMapVersion = 0;
  /** Version whose copy is complete, or 0. */
  uint64_t mPreparedVersion = 0;
  uint64_t mArmedVersion = 0;
  uint64_t mArmedStep = 0;
  /** Pass that the group does not begin, or 0. */
  uint64_t mHeldStep = 0;
  /** Requests that run or wait. */
  int mRequests = 0;
};

/** How often the requests of a rank chose each expert since its start. */
struct ExpertCounts
{
  uint64_t mStep = 0;
  uint64_t mEpoch = 0;
  /** By layer, then by expert. */
  std::vector<uint64_t> mCounts;
};

/** Experts of one rank, by layer. */
using RankExperts = std::vector<std::vector<uint32_t>>;

/** A rank's part of the map in use. */
struct RankPlacement
{
  uint64_t mVersion = 0;
  RankExperts mExperts;
};

/** Experts by layer, then by rank. */
using ExpertMap = std::vector<std::vector<std::vector<uint32_t>>>;

/** What a rank may be told to do. */
enum class RankOperation
{
  /** Copy the experts of a map that are new to the rank. */
  Prepare,
  /** Switch to a prepared map as a pass begins. */
  Arm,
  Disarm,
  /** Let the group not begin a pass. */
  Hold,
  /** Let a held pass begin. */
  Release,
};

/** An order to a rank. It is carried out only in the stated epoch. */
struct RankOrder
{
  RankOperation mOperation = RankOperation::Prepare;
  uint64_t mEpoch = 0;
  uint64_t mVersion = 0;
  uint64_t mStep = 0;
  ExpertMap mMap;
};

}
