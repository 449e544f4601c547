#include "consul/consulplatform.h"

#include "consul/internal/consulanswers.h"
#include "framework/log/log.h"

#include <algorithm>
#include <random>

namespace beryllever::consul {

namespace {

constexpr char kLogTag[] = "platform";
constexpr std::chrono::seconds kBlockingQueryWait{ 5 };
constexpr std::chrono::milliseconds kResponseTimeout{ 2000 };
constexpr std::chrono::milliseconds kMinBackoff{ 200 };
constexpr std::chrono::milliseconds kMaxBackoff{ 3000 };

/** Exponential backoff with jitter, so that processes do not retry all at
 * once. */
std::chrono::milliseconds
Backoff(size_t aFailures)
{
  const auto maxDelay =
    std::min(kMaxBackoff, kMinBackoff * (1 << std::min<size_t>(aFailures, 5)));
  thread_local std::mt19937 sRandom{ std::random_device{}() };
  std::uniform_int_distribution<int64_t> delay(maxDelay.count() / 2,
                                               maxDelay.count());
  return std::chrono::milliseconds(delay(sRandom));
}

}

ConsulPlatform::ConsulPlatform(std::vector<std::string> aAddresses)
  : mAddresses(std::move(aAddresses))
  , mQueries{ { "/v1/kv/beryllever/?recurse=true",
                &ConsulPlatform::HandleDocuments },
              { "/v1/catalog/nodes?", &ConsulPlatform::HandleVms } }
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
ConsulPlatform::SetOnResponse(std::function<void()> aOnResponse)
{
  mOnResponse = std::move(aOnResponse);
}

void
ConsulPlatform::StartWatching()
{
  if (mIsWatching || mAddresses.empty()) {
    return;
  }
  mIsWatching = true;
  LOGI("Started watching the platform.");
  for (Query& query : mQueries) {
    PollQuery(query);
  }
}

void
ConsulPlatform::StopWatching()
{
  if (mIsWatching) {
    LOGI("Stopped watching the platform.");
  }
  mIsWatching = false;
}

void
ConsulPlatform::ReadOnce()
{
  if (mAddresses.empty()) {
    return;
  }
  for (Query& query : mQueries) {
    SendQuery(query, false);
  }
}

void
ConsulPlatform::PollQuery(Query& aQuery)
{
  if (!mIsWatching || aQuery.mIsPolling) {
    return;
  }
  aQuery.mIsPolling = true;
  SendQuery(aQuery, true);
}

void
ConsulPlatform::SendQuery(Query& aQuery, bool aIsBlocking)
{
  const std::string& address = mAddresses[aQuery.mFailures % mAddresses.size()];
  QString url = QString::fromStdString(address) + aQuery.mPath;
  auto timeout = kResponseTimeout;
  if (aIsBlocking && aQuery.mLastRevision > 0) {
    url += QStringLiteral("&index=%1&wait=%2s")
             .arg(aQuery.mLastRevision)
             .arg(kBlockingQueryWait.count());
    timeout += kBlockingQueryWait;
  }
  net::Fetch(mContext,
             { .mMethod = "GET", .mUrl = QUrl(url) },
             timeout,
             [this, &aQuery, aIsBlocking](const net::HttpOutcome& aOutcome,
                                          const net::HttpAnswer& aResponse) {
               HandleResponse(aQuery, aOutcome, aResponse);
               if (!aIsBlocking) {
                 return;
               }
               aQuery.mIsPolling = false;
               const auto delay = aQuery.mFailures == 0
                                    ? std::chrono::milliseconds(0)
                                    : Backoff(aQuery.mFailures);
               QTimer::singleShot(
                 delay, &mContext, [this, &aQuery] { PollQuery(aQuery); });
             });
}

void
ConsulPlatform::HandleResponse(Query& aQuery,
                               const net::HttpOutcome& aOutcome,
                               const net::HttpAnswer& aResponse)
{
  const uint64_t revision = aResponse.Header("X-Consul-Index").toULongLong();
  if (!aOutcome.mIsComplete || aOutcome.mStatus != 200 || revision == 0) {
    if (aQuery.mFailures++ == 0) {
      LOGW("The platform gives no answer; what is in force stays. path="
           << aQuery.mPath << " reason=" << aOutcome.mReason.toStdString()
           << " status=" << aOutcome.mStatus);
    }
    return;
  }
  aQuery.mFailures = 0;
  if (mOnResponse) {
    mOnResponse();
  }
  if (revision != aQuery.mLastRevision) {
    aQuery.mLastRevision = revision;
    (this->*aQuery.mHandle)(aResponse.mBody.toStdString(), revision);
  }
}

void
ConsulPlatform::HandleDocuments(const std::string& aBody, uint64_t aRevision)
{
  global::Resolve(
    [&]() -> global::Result<void> {
      BOOST_LEAF_AUTO(documents, ParseKeyValues(aBody));
      mOnDocuments({ aRevision, std::move(documents) });
      return {};
    },
    [](const global::Error& aError) {
      LOGE("Cannot parse the platform's documents. reason=" << aError.mMessage);
    });
}

void
ConsulPlatform::HandleVms(const std::string& aBody, uint64_t aRevision)
{
  global::Resolve(
    [&]() -> global::Result<void> {
      BOOST_LEAF_AUTO(vms, ParseNodes(aBody));
      mOnVms({ aRevision, std::move(vms) });
      return {};
    },
    [](const global::Error& aError) {
      LOGE("Cannot parse the platform's VM list. reason=" << aError.mMessage);
    });
}

}
