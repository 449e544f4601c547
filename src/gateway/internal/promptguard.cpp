#include "gateway/internal/promptguard.h"

#include "framework/log/log.h"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace beryllever::gateway {

namespace {

constexpr char kLogTag[] = "quarantine";

/** The part's id as requests state it, without leading zeros. */
std::string
PartText(quarantine::PromptPart aPart)
{
  std::array<char, 20> buf{};
  std::snprintf(buf.data(), buf.size(), "%" PRIx64, aPart);
  return buf.data();
}

std::string
CrashText(const std::vector<quarantine::EndpointLife>& aCrashes)
{
  std::string text;
  for (const quarantine::EndpointLife& crash : aCrashes) {
    text += (text.empty() ? "" : ",") + crash.mEndpoint + "/" +
            std::to_string(crash.mIncarnation);
  }
  return text;
}

void
LogNotice(const quarantine::Notice& aNotice, const std::string& aReason)
{
  const std::string part = PartText(aNotice.mPart);
  const std::string crashes = CrashText(aNotice.mCrashes);
  switch (aNotice.mKind) {
    case quarantine::NoticeKind::Suspected:
      LOGW("A part of prompts is suspected. part="
           << part << " crashes=" << crashes << " refusedMilliseconds="
           << aNotice.mRefusalTime.count() << " reason=\"" << aReason << "\"");
      return;
    case quarantine::NoticeKind::Sound:
      if (!aNotice.mCrashes.empty()) {
        LOGI("A crash is not put down to a part that was sound before it. part="
             << part << " crashes=" << crashes << " reason=\"" << aReason
             << "\"");
        return;
      }
      LOGI("A part of prompts is sound. part=" << part << " reason=\""
                                               << aReason << "\"");
      return;
    case quarantine::NoticeKind::Withdrawn:
      LOGI("A part of prompts is not suspected of a crash any more. part="
           << part << " crashes=" << crashes << " reason=\"" << aReason
           << "\"");
      return;
  }
}

}

PromptGuard::PromptGuard(const global::IClock& aClock,
                         metrics::Metrics& aMetrics,
                         uint64_t aSeed)
  : mMetrics(aMetrics)
  , mQuarantine(aClock, aSeed)
{
}

std::optional<quarantine::Refusal>
PromptGuard::FindRefusal(const RequestMetadata& aRequest) const
{
  return mQuarantine.FindRefusal(aRequest.mSharedParts);
}

void
PromptGuard::RecordRefusal(const RequestMetadata& aRequest,
                           const quarantine::Refusal& aRefusal)
{
  LOGI("A request with a suspected part is refused. request="
       << aRequest.mRequestId << " part=" << PartText(aRefusal.mPart)
       << " retryAfterMilliseconds=" << aRefusal.mRetryAfter.count());
  mMetrics.Count("beryllever_suspected_part_refusals");
}

void
PromptGuard::RecordSent(const RequestMetadata& aRequest,
                        const published::Endpoint& aEndpoint)
{
  const auto notices = mQuarantine.RecordSent(aRequest.mSharedParts);
  if (notices.empty()) {
    return;
  }
  mMetrics.Count("beryllever_suspected_part_trials");
  Tell(notices,
       "trial with request " + aRequest.mRequestId + " at " + aEndpoint.mId);
}

void
PromptGuard::RecordSound(const RequestMetadata& aRequest)
{
  Tell(mQuarantine.RecordSound(aRequest.mSharedParts),
       "request " + aRequest.mRequestId + " is being answered");
}

void
PromptGuard::RecordBreak(const RequestMetadata& aRequest,
                         const published::Endpoint& aEndpoint,
                         bool aHasBegun)
{
  const auto notices = mQuarantine.RecordCrash(
    aRequest.mSharedParts, { aEndpoint.mId, aEndpoint.mBorn }, aHasBegun);
  for (const quarantine::Notice& notice : notices) {
    if (notice.mKind == quarantine::NoticeKind::Suspected) {
      mMetrics.Count("beryllever_suspected_parts");
    }
  }
  Tell(notices,
       "endpoint " + aEndpoint.mId + " broke off request " +
         aRequest.mRequestId +
         (aHasBegun ? " as its answer began" : " before its head"));
}

void
PromptGuard::RecordAlive(const published::Endpoint& aEndpoint,
                         global::TimePoint aSentAt)
{
  Tell(mQuarantine.RecordAlive({ aEndpoint.mId, aEndpoint.mBorn }, aSentAt),
       "endpoint " + aEndpoint.mId + " goes on answering");
}

void
PromptGuard::Apply(const quarantine::Notices& aNotices)
{
  quarantine::Notices answers;
  for (const quarantine::Notice& notice : aNotices) {
    const quarantine::Notices unknown = mQuarantine.Apply(notice);
    answers.insert(answers.end(), unknown.begin(), unknown.end());
  }
  Tell(answers, "known here");
}

void
PromptGuard::Tell(const quarantine::Notices& aNotices,
                  const std::string& aReason)
{
  if (aNotices.empty()) {
    return;
  }
  for (const quarantine::Notice& notice : aNotices) {
    LogNotice(notice, aReason);
  }
  if (mAnnounce) {
    mAnnounce(aNotices);
  }
}

}
