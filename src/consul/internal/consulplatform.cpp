#include "consul/consulplatform.h"

#include "consul/internal/consulanswers.h"
#include "framework/log/log.h"

#include <algorithm>
#include <random>

namespace beryllever::consul {

namespace {

constexpr char kLogTag[] = "platform";
constexpr std::chrono::seconds kWait{ 5 };
constexpr std::chrono::milliseconds kAnswerTime{ 2000 };
constexpr std::chrono::milliseconds kMinBackoff{ 200 };
constexpr std::chrono::milliseconds kMaxBackoff{ 3000 };

/** Exponential with jitter, so that processes do not come back all at once. */
std::chrono::milliseconds
Backoff(size_t aFailures)
{
  const auto ceiling =
    std::min(kMaxBackoff, kMinBackoff * (1 << std::min<size_t>(aFailures, 5)));
  thread_local std::mt19937 sRandom{ std::random_device{}() };
  std::uniform_int_distribution<int64_t> jitter(ceiling.count() / 2,
                                                ceiling.count());
  return std::chrono::milliseconds(jitter(sRandom));
}

}

ConsulPlatform::ConsulPlatform(QNetworkAccessManager& aManager,
                               std::vector<std::string> aAddresses)
  : mManager(aManager)
  , mAddresses(std::move(aAddresses))
  , mSubjects{ { "/v1/kv/beryllever/?recurse=true",
                 &ConsulPlatform::TakeDocuments },
               { "/v1/catalog/nodes?", &ConsulPlatform::TakeVms } }
{
}

void
ConsulPlatform::SetOnDocuments(
  std::function<void(DocumentSnapshot)> aOnDocuments)
{
  mOnDocuments = std::move(aOnDocuments);
}

void
ConsulPlatform::SetOnVms(std::function<void(VmSnapshot)> aOnVms)
{
  mOnVms = std::move(aOnVms);
}

void
ConsulPlatform::SetOnContact(std::function<void()> aOnContact)
{
  mOnContact = std::move(aOnContact);
}

void
ConsulPlatform::StartWatching()
{
  if (mIsWatching || mAddresses.empty()) {
    return;
  }
  mIsWatching = true;
  LOGI("Watching the platform.");
  for (Subject& subject : mSubjects) {
    Watch(subject);
  }
}

void
ConsulPlatform::StopWatching()
{
  if (mIsWatching) {
    LOGI("No longer watching the platform.");
  }
  mIsWatching = false;
}

void
ConsulPlatform::ReadOnce()
{
  if (mAddresses.empty()) {
    return;
  }
  for (Subject& subject : mSubjects) {
    Request(subject, false);
  }
}

void
ConsulPlatform::Watch(Subject& aSubject)
{
  if (!mIsWatching || aSubject.mIsWaiting) {
    return;
  }
  aSubject.mIsWaiting = true;
  Request(aSubject, true);
}

void
ConsulPlatform::Request(Subject& aSubject, bool aIsBlocking)
{
  const std::string& address =
    mAddresses[aSubject.mFailures % mAddresses.size()];
  QString url = QString::fromStdString(address) + aSubject.mPath;
  auto timeout = kAnswerTime;
  if (aIsBlocking && aSubject.mSeen > 0) {
    url += QStringLiteral("&index=%1&wait=%2s")
             .arg(aSubject.mSeen)
             .arg(kWait.count());
    timeout += kWait;
  }
  net::Fetch(mManager,
             { .mMethod = "GET", .mUrl = QUrl(url) },
             timeout,
             [this, &aSubject, aIsBlocking](const net::HttpOutcome& aOutcome,
                                            const net::HttpAnswer& aAnswer) {
               HandleAnswer(aSubject, aOutcome, aAnswer);
               if (!aIsBlocking) {
                 return;
               }
               aSubject.mIsWaiting = false;
               const auto delay = aSubject.mFailures == 0
                                    ? std::chrono::milliseconds(0)
                                    : Backoff(aSubject.mFailures);
               QTimer::singleShot(
                 delay, &mContext, [this, &aSubject] { Watch(aSubject); });
             });
}

void
ConsulPlatform::HandleAnswer(Subject& aSubject,
                             const net::HttpOutcome& aOutcome,
                             const net::HttpAnswer& aAnswer)
{
  const uint64_t revision = aAnswer.Header("X-Consul-Index").toULongLong();
  if (!aOutcome.mIsComplete || aOutcome.mStatus != 200 || revision == 0) {
    if (aSubject.mFailures++ == 0) {
      LOGW("The platform gives no answer; what is in force stays. path="
           << aSubject.mPath << " reason=" << aOutcome.mReason.toStdString()
           << " status=" << aOutcome.mStatus);
    }
    return;
  }
  aSubject.mFailures = 0;
  if (mOnContact) {
    mOnContact();
  }
  if (revision != aSubject.mSeen) {
    aSubject.mSeen = revision;
    (this->*aSubject.mTake)(aAnswer.mBody.toStdString(), revision);
  }
}

void
ConsulPlatform::TakeDocuments(const std::string& aBody, uint64_t aRevision)
{
  global::Resolve(
    [&]() -> global::Result<void> {
      BOOST_LEAF_AUTO(documents, ParseKeyValues(aBody));
      mOnDocuments({ aRevision, std::move(documents) });
      return {};
    },
    [](const global::Error& aError) {
      LOGE(
        "An answer of the platform cannot be read. reason=" << aError.mMessage);
    });
}

void
ConsulPlatform::TakeVms(const std::string& aBody, uint64_t aRevision)
{
  global::Resolve(
    [&]() -> global::Result<void> {
      BOOST_LEAF_AUTO(vms, ParseNodes(aBody));
      mOnVms({ aRevision, std::move(vms) });
      return {};
    },
    [](const global::Error& aError) {
      LOGE(
        "An answer of the platform cannot be read. reason=" << aError.mMessage);
    });
}

}
