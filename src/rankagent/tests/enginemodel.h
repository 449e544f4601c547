#pragma once

#include "rankagent/mapchange.h"

namespace beryllever::rankagent::tests {

/** Injected faults that the state space exploration must detect. */
enum class Fault
{
  None,
  /** A held pass starts anyway. */
  IgnoresHold,
  /** Ranks arm versions that are no longer prepared. */
  ArmsOldVersions,
  /** The leader treats an unanswered order as executed. */
  TrustsUnansweredOrders,
  /** The second leader clears without holding its own rank. */
  ClearsWithoutHold,
};

/** Model of how the platform's engine executes an order. Returns whether the
 * order was accepted. */
inline bool
ExecuteOrder(RankState& aRank,
             uint64_t aStep,
             const RankOrder& aOrder,
             Fault aFault = Fault::None)
{
  switch (aOrder.mOperation) {
    case RankOperation::Hold:
      if (aRank.mHeldStep != 0 || aOrder.mStep <= aStep) {
        return false;
      }
      aRank.mHeldStep = aOrder.mStep;
      return true;
    case RankOperation::Release:
      if (aRank.mHeldStep == 0 || aRank.mHeldStep != aOrder.mStep) {
        return false;
      }
      aRank.mHeldStep = 0;
      return true;
    case RankOperation::Arm:
      if (aOrder.mStep <= aStep || (aRank.mPreparedVersion != aOrder.mVersion &&
                                    aFault != Fault::ArmsOldVersions)) {
        return false;
      }
      aRank.mArmedVersion = aOrder.mVersion;
      aRank.mArmedStep = aOrder.mStep;
      return true;
    case RankOperation::Disarm:
      if (aRank.mArmedVersion != aOrder.mVersion) {
        return false;
      }
      aRank.mArmedVersion = 0;
      aRank.mArmedStep = 0;
      return true;
    case RankOperation::Prepare:
      if (aRank.mArmedVersion != 0 ||
          aOrder.mVersion <= aRank.mPreparedVersion ||
          aOrder.mVersion <= aRank.mMapVersion) {
        return false;
      }
      aRank.mPreparedVersion = aOrder.mVersion;
      return true;
  }
  return false;
}

}
