#include "agent/internal/backendmonitor.h"

#include "framework/settings/jsondocument.h"

namespace beryllever::agent {

namespace {

constexpr std::chrono::milliseconds kInterval{ 100 };
constexpr std::chrono::milliseconds kTimeout{ 1000 };
constexpr std::chrono::milliseconds kSilenceTime{ 1500 };

std::optional<credits::BackEndReport>
ParseReport(const QByteArray& aBody)
{
  const settings::Json json =
    settings::Json::parse(aBody.toStdString(), nullptr, false);
  if (!json.is_object() || !json.contains("incarnation") ||
      !json["incarnation"].is_string()) {
    return std::nullopt;
  }
  credits::BackEndReport report{ .mIncarnation = json["incarnation"] };
  if (const auto it = json.find("cacheEntries");
      it != json.end() && it->is_number_integer()) {
    report.mCacheEntries = *it;
  }
  if (const auto it = json.find("ready");
      it != json.end() && it->is_boolean()) {
    report.mIsReady = *it;
  }
  return report;
}

}

BackEndMonitor::BackEndMonitor(const global::IClock& aClock,
                               QNetworkAccessManager& aManager,
                               const std::string& aBackEnd,
                               OnReport aOnReport)
  : mClock(aClock)
  , mManager(aManager)
  , mUrl(QString::fromStdString(aBackEnd + "/health"))
  , mOnReport(std::move(aOnReport))
  , mSilenceDeadline(aClock.Now() + kSilenceTime)
{
  QObject::connect(&mTimer, &QTimer::timeout, &mTimer, [this] { Read(); });
  mTimer.start(kInterval);
  Read();
}

void
BackEndMonitor::Read()
{
  if (mClock.Now() >= mSilenceDeadline) {
    mOnReport(std::nullopt);
  }
  if (mIsReading) {
    return;
  }
  mIsReading = true;
  net::Fetch(
    mManager,
    { .mMethod = "GET", .mUrl = mUrl },
    kTimeout,
    [this](const net::HttpOutcome& aOutcome, const net::HttpAnswer& aAnswer) {
      mIsReading = false;
      HandleAnswer(aOutcome, aAnswer.mBody);
    });
}

void
BackEndMonitor::HandleAnswer(const net::HttpOutcome& aOutcome,
                             const QByteArray& aBody)
{
  if (!aOutcome.mIsComplete && !aOutcome.mIsTimedOut) {
    // Nothing listens, or the process has just gone.
    mOnReport(std::nullopt);
    return;
  }
  if (aOutcome.mStatus != 200) {
    return;
  }
  if (const auto report = ParseReport(aBody)) {
    mSilenceDeadline = mClock.Now() + kSilenceTime;
    mOnReport(report);
  }
}

}
