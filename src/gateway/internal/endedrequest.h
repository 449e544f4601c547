#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace beryllever::gateway {

using std::chrono::milliseconds;

/** What the last line of a request in the log tells. */
struct EndedRequest
{
  /** Set unless an endpoint has responded to the end. */
  struct LocalEnd
  {
    /** Time since data was last forwarded; none if no response had begun. */
    std::optional<milliseconds> mSilence;
    /** Time that the request had on arrival; none if it was not admitted. */
    std::optional<milliseconds> mLimit;
    int64_t mVersionInForce = 0;
    std::string mLastFailure;
  };

  std::string mRequest;
  std::string mRoute;
  std::string mPool;
  std::string mEndpoint;
  unsigned mStatus = 0;
  int mAttempts = 0;
  /** Number of the request on its connection, from 1. */
  int mOrdinal = 1;
  /** Set once the process is told to stop; negative for requests that came
   * before. */
  std::optional<milliseconds> mArrivedAfterStop;
  std::optional<milliseconds> mTimeToFirstByte;
  milliseconds mLongestPause{ 0 };
  std::optional<LocalEnd> mLocalEnd;
  milliseconds mElapsed{ 0 };
  /** Version by which the request was admitted. */
  int64_t mVersion = 0;
  uint64_t mRevision = 0;
  std::string mOutcome;
};

/** The line's fields, as key=value. */
std::string
FieldsText(const EndedRequest& aEnded);

}
