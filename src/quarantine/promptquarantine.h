#pragma once

#include "framework/global/iclock.h"
#include "quarantine/soundparts.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace beryllever::quarantine {

using std::chrono::milliseconds;

/** One life of an endpoint, and so at most one crash. */
struct EndpointLife
{
  std::string mEndpoint;
  /** Start of the endpoint. */
  int64_t mIncarnation = 0;

  bool operator==(const EndpointLife&) const = default;
  bool operator<(const EndpointLife& aOther) const
  {
    return std::tie(mEndpoint, mIncarnation) <
           std::tie(aOther.mEndpoint, aOther.mIncarnation);
  }
};

enum class NoticeKind
{
  /** An endpoint has crashed as it began to answer a request with the part. */
  Suspected,
  /** An answer to a request with the part was begun and went on, before the
   * crashes if any are named. */
  Sound,
  /** The endpoint has not crashed. */
  Withdrawn,
};

/** What gateways tell each other about a part. */
struct Notice
{
  NoticeKind mKind = NoticeKind::Suspected;
  PromptPart mPart = 0;
  /** The crashes in question. */
  std::vector<EndpointLife> mCrashes;
  /** Time since the last crash. */
  milliseconds mSinceCrash{ 0 };
  /** Time for which requests with the part are refused; of suspected parts
   * only, as is the time below. */
  milliseconds mRefusalTime{ 0 };
  /** Time for which the outcome of a trial is awaited. */
  milliseconds mTrialTime{ 0 };
  /** The answer had begun when an endpoint crashed. */
  bool mHasBegun = false;
};

using Notices = std::vector<Notice>;

/** A request that is not to run now. */
struct Refusal
{
  PromptPart mPart = 0;
  milliseconds mRetryAfter{ 0 };
};

/**
 * Finds parts of prompts that crash each endpoint that begins to answer a
 * request with them, and says which requests may not run. A part is suspected
 * when an endpoint breaks off a request as its answer begins, unless an answer
 * with the part has been seen to go on; it is sound once one has. Two
 * crashes at different times as answers begin, with none that goes on in
 * between, outweigh that. The notices that are returned are meant for all other
 * gateways.
 */
class PromptQuarantine
{
public:
  PromptQuarantine(const global::IClock& aClock, uint64_t aSeed);

  /** Why a request with these parts is not to run, if so. */
  std::optional<Refusal> FindRefusal(
    const std::vector<PromptPart>& aParts) const;
  /** Records that a request is about to be sent. If it has suspected parts, it
   * is a trial, and others with them are refused until it has ended. */
  Notices RecordSent(const std::vector<PromptPart>& aParts);
  /** An answer to a request with these parts was begun and went on. */
  Notices RecordSound(const std::vector<PromptPart>& aParts);
  /** An endpoint broke off a request before its answer had gone on for a while,
   * and after it had begun an answer or not. */
  Notices RecordCrash(const std::vector<PromptPart>& aParts,
                      const EndpointLife& aEndpoint,
                      bool aHasBegun);
  /** An endpoint sends data of an answer to a request sent at aSentAt. */
  Notices RecordAlive(const EndpointLife& aEndpoint, global::TimePoint aSentAt);
  /** Takes a notice of another gateway; returns what that one does not know. */
  Notices Apply(const Notice& aNotice);
  /** The suspected parts, for gateways that have not heard of them: those of
   * the last crashes, bounded. */
  Notices Suspected() const;

private:
  using Crashes = std::set<EndpointLife>;

  struct Suspicion
  {
    Crashes mCrashes;
    global::TimePoint mCrashedAt{};
    /** Until then requests with the part are refused. */
    global::TimePoint mRefusedUntil{};
    /** Until then the outcome of a crash or of a trial is awaited. */
    global::TimePoint mTrialUntil{};
    /** The answer had begun when an endpoint crashed. */
    bool mHasBegun = false;
    /** The part was seen to be sound before its only crash, so it is not
     * refused. */
    bool mIsOutweighed = false;
  };

  /** Whether the part was there in several crashes, or is the only one with
   * which an answer had begun. */
  bool IsProbablyDeadly(const Suspicion& aSuspicion) const;
  global::TimePoint RefusedUntil(const Suspicion& aSuspicion,
                                 bool aIsOnlyOne) const;
  Notice NoticeOf(PromptPart aPart, const Suspicion& aSuspicion) const;
  /** Whether what looked like a crash at aCrashedAt was none. */
  bool IsWithdrawn(const EndpointLife& aCrash,
                   global::TimePoint aCrashedAt) const;
  /** Drops a crash that was none from all suspicions. */
  Notices Withdraw(const EndpointLife& aCrash);
  void RemoveOldest();
  Notices ApplySound(const Notice& aNotice);
  Notices ApplySuspected(const Notice& aNotice);
  /** Records that a part was seen to be sound before a crash, unless another
   * crash outweighs it. */
  Notices ApplySoundBefore(const Notice& aNotice, const Crashes& aCrashes);
  /** The crashes that a notice names and that were not withdrawn; appends
   * notices of those that were to aUnknown. */
  Crashes KnownCrashes(const Notice& aNotice, Notices& aUnknown) const;
  /** Whether crashes show more than the suspicion knows, and not at the time of
   * its last crash. */
  static bool IsRepeated(const Suspicion& aSuspicion,
                         const Crashes& aCrashes,
                         global::TimePoint aCrashedAt);

  const global::IClock& mClock;
  mutable std::mt19937_64 mRandom;
  SoundParts mSound;
  std::map<PromptPart, Suspicion> mSuspicions;
  /** Crashes that were none, the last ones, and when that was known. */
  std::deque<std::pair<EndpointLife, global::TimePoint>> mWithdrawn;
};

}
