#include "gateway/internal/endedrequest.h"

#include <sstream>

namespace beryllever::gateway {

namespace {

constexpr milliseconds kNone{ -1 };

}

std::string
FieldsText(const EndedRequest& aEnded)
{
  std::ostringstream text;
  text << "request=" << aEnded.mRequest << " route=" << aEnded.mRoute
       << " pool=" << aEnded.mPool << " endpoint=" << aEnded.mEndpoint
       << " status=" << aEnded.mStatus << " attempts=" << aEnded.mAttempts
       << " connectionRequest=" << aEnded.mOrdinal;
  if (aEnded.mArrivedAfterStop) {
    text << " arrivedAfterStopMilliseconds="
         << aEnded.mArrivedAfterStop->count();
  }
  text << " firstByteMilliseconds="
       << aEnded.mTimeToFirstByte.value_or(kNone).count()
       << " longestPauseMilliseconds=" << aEnded.mLongestPause.count();
  if (const auto& local = aEnded.mLocalEnd) {
    text << " silentMilliseconds=" << local->mSilence.value_or(kNone).count()
         << " limitMilliseconds=" << local->mLimit.value_or(kNone).count()
         << " versionInForce=" << local->mVersionInForce << " lastFailure=\""
         << local->mLastFailure << '"';
  }
  text << " milliseconds=" << aEnded.mElapsed.count()
       << " version=" << aEnded.mVersion << " revision=" << aEnded.mRevision
       << " outcome=\"" << aEnded.mOutcome << '"';
  return text.str();
}

}
