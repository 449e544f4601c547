#include "agent/internal/backendmonitor.h"

#include "framework/settings/jsondocument.h"

namespace beryllever::agent {

namespace {

constexpr std::chrono::milliseconds kPollInterval{ 100 };
constexpr std::chrono::milliseconds kPollTimeout{ 1000 };
constexpr std::chrono::milliseconds kReportTimeout{ 1500 };

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
                               const std::string& aBackEnd,
                               OnReport aOnReport)
  : mClock(aClock)
  , mUrl(QString::fromStdString(aBackEnd + "/health"))
  , mOnReport(std::move(aOnReport))
  , mReportDeadline(aClock.Now() + kReportTimeout)
{
  QObject::connect(&mTimer, &QTimer::timeout, &mTimer, [this] { Poll(); });
  mTimer.start(kPollInterval);
  Poll();
}

void
BackEndMonitor::Poll()
{
  if (mClock.Now() >= mReportDeadline) {
    mOnReport(std::nullopt);
  }
  if (mIsPolling) {
    return;
  }
  mIsPolling = true;
  net::Fetch(
    mTimer,
    { .mMethod = "GET", .mUrl = mUrl },
    kPollTimeout,
    [this](const net::HttpOutcome& aOutcome, const net::HttpAnswer& aAnswer) {
      mIsPolling = false;
      HandleResponse(aOutcome, aAnswer.mBody);
    });
}

void
BackEndMonitor::HandleResponse(const net::HttpOutcome& aOutcome,
                               const QByteArray& aBody)
{
  if (!aOutcome.mIsComplete && !aOutcome.mIsTimedOut) {
    // Connection refused or closed: the back end is not running.
    mOnReport(std::nullopt);
    return;
  }
  if (aOutcome.mStatus != 200) {
    return;
  }
  if (const auto report = ParseReport(aBody)) {
    mReportDeadline = mClock.Now() + kReportTimeout;
    mOnReport(report);
  }
}

}
