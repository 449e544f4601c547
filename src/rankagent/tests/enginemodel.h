#pragma once

#include "rankagent/mapchange.h"

namespace beryllever::rankagent::tests {

/** Faults that the exploration must find. */
enum class Fault
{
  None,
  /** A hold does not hold. */
  NoHold,
  /** Ranks arm versions that are no longer prepared. */
  ArmsOldVersions,
  /** The lead counts an unanswered order to arm as carried out. */
  TrustsSilence,
  /** The lead clears without a hold of its own. */
  ClearsWithoutHold,
};

/** What a rank does with an order; the model of an engine, as the users'
 * platform describes and shows it. Returns whether the order was taken. */
inline bool
CarryOut(RankState& aRank,
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
