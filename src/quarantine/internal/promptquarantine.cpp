#include "quarantine/promptquarantine.h"

#include <algorithm>

namespace beryllever::quarantine {

namespace {

using std::chrono::duration_cast;
using std::chrono::seconds;

/** Sound parts that are remembered; about 100 bytes each. */
constexpr size_t kMaxSoundParts = 16384;
/** Suspected parts that are remembered. */
constexpr size_t kMaxSuspicions = 256;
/** Suspected parts that another gateway is told of at a time. */
constexpr size_t kMaxNotices = 64;
/** Crashes of one part that are remembered. */
constexpr size_t kMaxCrashes = 4;
/** Withdrawn crashes that are remembered. */
constexpr size_t kMaxWithdrawn = 64;
/** Time for which a part is refused after its first crash. A trial that
 * crashes takes a whole group away for some seconds, so it is rare. */
constexpr milliseconds kFirstRefusalTime = seconds(30);
/** Factor by which the time grows with each further crash. */
constexpr int kRefusalTimeFactor = 4;
constexpr milliseconds kMaxRefusalTime = seconds(600);
/** Fraction of the time that gateways add at random, so that two do not try
 * the part in the same moment. */
constexpr double kRefusalTimeSpread = 0.2;
/** Longest time to the first event of a trial, and time after a crash within
 * which other gateways and the endpoint itself show what it was. */
constexpr milliseconds kTrialTime{ 2000 };
/** Data that arrived before a crash may be read this much later. */
constexpr milliseconds kReadDelay{ 300 };
/** A crashed endpoint is not back sooner. */
constexpr milliseconds kMinRestartTime{ 1000 };

milliseconds
RefusalTime(size_t aCrashes)
{
  milliseconds time = kFirstRefusalTime;
  for (size_t i = 1; i < aCrashes && time < kMaxRefusalTime; ++i) {
    time *= kRefusalTimeFactor;
  }
  return std::min(time, kMaxRefusalTime);
}

/** A time that another gateway states. */
milliseconds
Bounded(milliseconds aTime)
{
  return std::clamp(aTime, milliseconds(0), 2 * kMaxRefusalTime);
}

}

PromptQuarantine::PromptQuarantine(const global::IClock& aClock, uint64_t aSeed)
  : mClock(aClock)
  , mRandom(aSeed)
  , mSound(kMaxSoundParts)
{
}

std::optional<Refusal>
PromptQuarantine::FindRefusal(const std::vector<PromptPart>& aParts) const
{
  if (mSuspicions.empty()) {
    return std::nullopt;
  }
  const auto suspected =
    std::count_if(aParts.begin(), aParts.end(), [this](PromptPart aPart) {
      return mSuspicions.contains(aPart);
    });
  const auto now = mClock.Now();
  for (const PromptPart part : aParts) {
    const auto it = mSuspicions.find(part);
    if (it == mSuspicions.end() || it->second.mIsOutweighed) {
      continue;
    }
    const auto until = RefusedUntil(it->second, suspected == 1);
    if (now < until) {
      return Refusal{ part, std::chrono::ceil<milliseconds>(until - now) };
    }
  }
  return std::nullopt;
}

bool
PromptQuarantine::IsProbablyDeadly(const Suspicion& aSuspicion) const
{
  if (aSuspicion.mCrashes.size() != 1) {
    return true;
  }
  const EndpointLife& crash = *aSuspicion.mCrashes.begin();
  const auto begun = std::count_if(
    mSuspicions.begin(), mSuspicions.end(), [&](const auto& aOther) {
      return aOther.second.mHasBegun && !aOther.second.mIsOutweighed &&
             aOther.second.mCrashes.contains(crash);
    });
  return aSuspicion.mHasBegun && begun == 1;
}

global::TimePoint
PromptQuarantine::RefusedUntil(const Suspicion& aSuspicion,
                               bool aIsOnlyOne) const
{
  // A part that is probably sound is tried soon, without other suspects.
  const bool mayTry = aIsOnlyOne && !IsProbablyDeadly(aSuspicion);
  return mayTry ? aSuspicion.mTrialUntil
                : std::max(aSuspicion.mTrialUntil, aSuspicion.mRefusedUntil);
}

Notices
PromptQuarantine::RecordSent(const std::vector<PromptPart>& aParts)
{
  Notices notices;
  if (mSuspicions.empty()) {
    return notices;
  }
  const auto now = mClock.Now();
  for (const PromptPart part : aParts) {
    const auto it = mSuspicions.find(part);
    if (it == mSuspicions.end() || it->second.mIsOutweighed) {
      continue;
    }
    Suspicion& suspicion = it->second;
    suspicion.mTrialUntil = now + kTrialTime;
    suspicion.mRefusedUntil =
      std::max(suspicion.mRefusedUntil, suspicion.mTrialUntil);
    notices.push_back(NoticeOf(part, suspicion));
  }
  return notices;
}

Notices
PromptQuarantine::RecordSound(const std::vector<PromptPart>& aParts)
{
  Notices notices;
  for (const PromptPart part : aParts) {
    mSound.Add(part, mClock.Now());
    const auto it = mSuspicions.find(part);
    if (it == mSuspicions.end()) {
      continue;
    }
    notices.push_back(
      { .mKind = NoticeKind::Sound, .mPart = part, .mCrashes = {} });
    mSuspicions.erase(it);
  }
  return notices;
}

Notices
PromptQuarantine::RecordCrash(const std::vector<PromptPart>& aParts,
                              const EndpointLife& aEndpoint,
                              bool aHasBegun)
{
  Notices notices;
  const auto now = mClock.Now();
  for (const PromptPart part : aParts) {
    const bool wasSound = mSound.Contains(part);
    if (IsWithdrawn(aEndpoint, now) || (wasSound && !aHasBegun)) {
      continue;
    }
    Suspicion& suspicion = mSuspicions[part];
    suspicion.mIsOutweighed = wasSound && suspicion.mCrashes.empty();
    if (wasSound && !suspicion.mIsOutweighed) {
      // Endpoints that crash together show one cause.
      if (now < suspicion.mCrashedAt + kMinRestartTime) {
        suspicion.mIsOutweighed = true;
        continue;
      }
      mSound.Remove(part);
    }
    const bool isNew = suspicion.mCrashes.insert(aEndpoint).second;
    const bool isSameCrash =
      !isNew && now < suspicion.mCrashedAt + kMinRestartTime;
    if (isSameCrash && (suspicion.mHasBegun || !aHasBegun)) {
      continue;
    }
    suspicion.mHasBegun = suspicion.mHasBegun || aHasBegun;
    if (suspicion.mCrashes.size() > kMaxCrashes) {
      suspicion.mCrashes.erase(suspicion.mCrashes.begin());
    }
    suspicion.mCrashedAt = now;
    // A life that is known already has crashed before: its new one is not known
    // yet.
    const bool isNewLife = !isNew && !isSameCrash;
    const auto time =
      RefusalTime(suspicion.mCrashes.size() + (isNewLife ? 1 : 0));
    std::uniform_real_distribution<double> spread(1, 1 + kRefusalTimeSpread);
    suspicion.mRefusedUntil =
      now + duration_cast<milliseconds>(time * spread(mRandom));
    suspicion.mTrialUntil = now + kTrialTime;
    notices.push_back(NoticeOf(part, suspicion));
    RemoveOldest();
  }
  return notices;
}

Notices
PromptQuarantine::RecordAlive(const EndpointLife& aEndpoint,
                              global::TimePoint aSentAt)
{
  const auto now = mClock.Now();
  const bool isAlive = std::any_of(
    mSuspicions.begin(), mSuspicions.end(), [&](const auto& aSuspicion) {
      const auto crashedAt = aSuspicion.second.mCrashedAt;
      return aSuspicion.second.mCrashes.contains(aEndpoint) &&
             now > crashedAt + kReadDelay &&
             aSentAt < crashedAt + kMinRestartTime;
    });
  return isAlive ? Withdraw(aEndpoint) : Notices();
}

Notices
PromptQuarantine::Withdraw(const EndpointLife& aCrash)
{
  Notices notices;
  std::erase_if(mWithdrawn, [&](const auto& aWithdrawn) {
    return aWithdrawn.first == aCrash;
  });
  mWithdrawn.emplace_back(aCrash, mClock.Now());
  if (mWithdrawn.size() > kMaxWithdrawn) {
    mWithdrawn.pop_front();
  }
  for (auto it = mSuspicions.begin(); it != mSuspicions.end();) {
    auto& [part, suspicion] = *it;
    if (suspicion.mCrashes.erase(aCrash) > 0) {
      notices.push_back({ .mKind = NoticeKind::Withdrawn,
                          .mPart = part,
                          .mCrashes = { aCrash } });
    }
    it = suspicion.mCrashes.empty() ? mSuspicions.erase(it) : std::next(it);
  }
  return notices;
}

Notices
PromptQuarantine::Apply(const Notice& aNotice)
{
  switch (aNotice.mKind) {
    case NoticeKind::Sound:
      return ApplySound(aNotice);
    case NoticeKind::Withdrawn:
      for (const EndpointLife& crash : aNotice.mCrashes) {
        Withdraw(crash);
      }
      return {};
    case NoticeKind::Suspected:
      return ApplySuspected(aNotice);
  }
  return {};
}

Notices
PromptQuarantine::ApplySound(const Notice& aNotice)
{
  if (aNotice.mCrashes.empty()) {
    mSound.Add(aNotice.mPart, mClock.Now());
    mSuspicions.erase(aNotice.mPart);
    return {};
  }
  Notices unknown;
  const Crashes crashes = KnownCrashes(aNotice, unknown);
  if (crashes.empty()) {
    return unknown;
  }
  return ApplySoundBefore(aNotice, crashes);
}

Notices
PromptQuarantine::ApplySoundBefore(const Notice& aNotice,
                                   const Crashes& aCrashes)
{
  const auto crashedAt = mClock.Now() - Bounded(aNotice.mSinceCrash);
  const auto it = mSuspicions.find(aNotice.mPart);
  const bool isKnown = it != mSuspicions.end();
  // Only crashes as an answer began count against a part that was sound.
  const bool isDoubted = isKnown && it->second.mHasBegun;
  if (isDoubted &&
      (it->second.mCrashes.size() > 1 ||
       (aNotice.mHasBegun && IsRepeated(it->second, aCrashes, crashedAt)))) {
    it->second.mCrashes.insert(aCrashes.begin(), aCrashes.end());
    it->second.mIsOutweighed = false;
    mSound.Remove(aNotice.mPart);
    return { NoticeOf(aNotice.mPart, it->second) };
  }
  if (!mSound.Contains(aNotice.mPart)) {
    mSound.Add(aNotice.mPart, crashedAt);
  }
  if (!aNotice.mHasBegun) {
    if (isKnown && !isDoubted) {
      mSuspicions.erase(it);
    }
    return {};
  }
  if (mSound.WasSeenAfter(aNotice.mPart, crashedAt)) {
    return {};
  }
  Suspicion& suspicion = mSuspicions[aNotice.mPart];
  suspicion.mCrashes.insert(aCrashes.begin(), aCrashes.end());
  suspicion.mCrashedAt = std::max(suspicion.mCrashedAt, crashedAt);
  suspicion.mHasBegun = true;
  suspicion.mIsOutweighed = true;
  RemoveOldest();
  return {};
}

PromptQuarantine::Crashes
PromptQuarantine::KnownCrashes(const Notice& aNotice, Notices& aUnknown) const
{
  const auto crashedAt = mClock.Now() - Bounded(aNotice.mSinceCrash);
  Crashes crashes;
  for (const EndpointLife& crash : aNotice.mCrashes) {
    if (IsWithdrawn(crash, crashedAt)) {
      aUnknown.push_back({ .mKind = NoticeKind::Withdrawn,
                           .mPart = aNotice.mPart,
                           .mCrashes = { crash } });
    } else if (crashes.size() < kMaxCrashes) {
      crashes.insert(crash);
    }
  }
  return crashes;
}

bool
PromptQuarantine::IsRepeated(const Suspicion& aSuspicion,
                             const Crashes& aCrashes,
                             global::TimePoint aCrashedAt)
{
  const auto apart = std::chrono::abs(aCrashedAt - aSuspicion.mCrashedAt);
  return apart >= kMinRestartTime && !std::includes(aSuspicion.mCrashes.begin(),
                                                    aSuspicion.mCrashes.end(),
                                                    aCrashes.begin(),
                                                    aCrashes.end());
}

Notices
PromptQuarantine::ApplySuspected(const Notice& aNotice)
{
  const auto now = mClock.Now();
  const auto crashedAt = now - Bounded(aNotice.mSinceCrash);
  Notices unknown;
  Crashes crashes = KnownCrashes(aNotice, unknown);
  if (crashes.empty()) {
    return unknown;
  }
  if (mSound.WasSeenAfter(aNotice.mPart, crashedAt)) {
    return {
      { .mKind = NoticeKind::Sound, .mPart = aNotice.mPart, .mCrashes = {} }
    };
  }
  const bool wasSound = mSound.Contains(aNotice.mPart);
  if (wasSound && !aNotice.mHasBegun) {
    return { { .mKind = NoticeKind::Sound,
               .mPart = aNotice.mPart,
               .mCrashes = aNotice.mCrashes,
               .mSinceCrash = aNotice.mSinceCrash } };
  }
  const auto it = mSuspicions.find(aNotice.mPart);
  const bool isRepeated =
    crashes.size() > 1 ||
    (it != mSuspicions.end() && IsRepeated(it->second, crashes, crashedAt));
  Suspicion& suspicion = mSuspicions[aNotice.mPart];
  suspicion.mCrashes.merge(crashes);
  while (suspicion.mCrashes.size() > kMaxCrashes) {
    suspicion.mCrashes.erase(suspicion.mCrashes.begin());
  }
  suspicion.mCrashedAt = std::max(suspicion.mCrashedAt, crashedAt);
  suspicion.mHasBegun = suspicion.mHasBegun || aNotice.mHasBegun;
  suspicion.mRefusedUntil =
    std::max(suspicion.mRefusedUntil, now + Bounded(aNotice.mRefusalTime));
  suspicion.mTrialUntil =
    std::max(suspicion.mTrialUntil, now + Bounded(aNotice.mTrialTime));
  suspicion.mIsOutweighed = wasSound && !isRepeated;
  if (wasSound && isRepeated) {
    mSound.Remove(aNotice.mPart);
  }
  RemoveOldest();
  if (wasSound) {
    unknown.push_back(NoticeOf(aNotice.mPart, mSuspicions[aNotice.mPart]));
  }
  return unknown;
}

Notices
PromptQuarantine::Suspected() const
{
  Notices notices;
  for (const auto& [part, suspicion] : mSuspicions) {
    notices.push_back(NoticeOf(part, suspicion));
  }
  std::sort(notices.begin(),
            notices.end(),
            [](const Notice& aLeft, const Notice& aRight) {
              return aLeft.mSinceCrash < aRight.mSinceCrash;
            });
  notices.resize(std::min(notices.size(), kMaxNotices));
  return notices;
}

Notice
PromptQuarantine::NoticeOf(PromptPart aPart, const Suspicion& aSuspicion) const
{
  const auto now = mClock.Now();
  const auto left = [&](global::TimePoint aUntil) {
    return std::max(milliseconds(0), duration_cast<milliseconds>(aUntil - now));
  };
  return {
    .mKind =
      aSuspicion.mIsOutweighed ? NoticeKind::Sound : NoticeKind::Suspected,
    .mPart = aPart,
    .mCrashes = { aSuspicion.mCrashes.begin(), aSuspicion.mCrashes.end() },
    .mSinceCrash = duration_cast<milliseconds>(now - aSuspicion.mCrashedAt),
    .mRefusalTime = left(aSuspicion.mRefusedUntil),
    .mTrialTime = left(aSuspicion.mTrialUntil),
    .mHasBegun = aSuspicion.mHasBegun
  };
}

bool
PromptQuarantine::IsWithdrawn(const EndpointLife& aCrash,
                              global::TimePoint aCrashedAt) const
{
  return std::any_of(
    mWithdrawn.begin(), mWithdrawn.end(), [&](const auto& aWithdrawn) {
      return aWithdrawn.first == aCrash && aCrashedAt <= aWithdrawn.second;
    });
}

void
PromptQuarantine::RemoveOldest()
{
  if (mSuspicions.size() <= kMaxSuspicions) {
    return;
  }
  mSuspicions.erase(std::min_element(mSuspicions.begin(),
                                     mSuspicions.end(),
                                     [](const auto& aLeft, auto& aRight) {
                                       return aLeft.second.mCrashedAt <
                                              aRight.second.mCrashedAt;
                                     }));
}

}
