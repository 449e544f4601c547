#include "app/daemon.h"

#include "app/internal/signalwatcher.h"
#include "framework/log/log.h"

#include "framework/settings/jsondocument.h"

#include <QCoreApplication>
#include <QDateTime>
#include <QFileInfo>

namespace beryllever::app {

namespace {

constexpr char kLogTag[] = "daemon";
constexpr std::chrono::milliseconds kIdleCheckInterval{ 50 };
/** Lets callers and peers learn of the stop before the process exits. */
constexpr std::chrono::milliseconds kMinStopDuration{ 500 };
/** Interval of the check for changes of the settings file, for changes that are
 * not announced by SIGHUP. */
constexpr std::chrono::milliseconds kSettingsCheckInterval{ 1000 };
constexpr int kExitStartupFailed = 3;

}

Daemon::Daemon(std::shared_ptr<configuration::IProcessSettings> aSettings,
               std::string aSettingsPath)
  : mKernel(aSettings->Role())
  , mSettings(std::move(aSettings))
  , mSettingsPath(std::move(aSettingsPath))
{
  mKernel.Provide<configuration::IProcessSettings>(mSettings);
}

int
Daemon::Run()
{
  SignalWatcher signals([this] { BeginStop(); }, [this] { Reload(); });
  try {
    mKernel.RegisterAll();
    mKernel.StartAll();
  } catch (const std::runtime_error& error) {
    LOGE("Startup failed. reason=" << error.what());
    return kExitStartupFailed;
  }
  LOGI("Startup is complete. role="
       << mSettings->Role() << " vm=" << mSettings->VmName()
       << " availabilityZone=" << mSettings->AvailabilityZone());
  QObject::connect(&mSettingsTimer, &QTimer::timeout, &mSettingsTimer, [this] {
    CheckSettingsFile();
  });
  mSettingsTimer.start(kSettingsCheckInterval);
  const int code = QCoreApplication::exec();
  mKernel.StopAll();
  return code;
}

void
Daemon::BeginStop()
{
  // Further signals are ignored, so that a planned stop aborts no request.
  if (mIsStopping) {
    LOGI("Already stopping; waiting for requests in flight.");
    return;
  }
  mIsStopping = true;
  mEarliestExit = mClock.Now() + kMinStopDuration;
  mKernel.BeginStop();
  QObject::connect(
    &mStopTimer, &QTimer::timeout, &mStopTimer, [this] { CheckIdle(); });
  mStopTimer.start(kIdleCheckInterval);
}

void
Daemon::CheckSettingsFile()
{
  const auto modified = QFileInfo(QString::fromStdString(mSettingsPath))
                          .lastModified()
                          .toMSecsSinceEpoch();
  if (mSettingsModified != 0 && modified != mSettingsModified) {
    Reload();
  }
  mSettingsModified = modified;
}

void
Daemon::Reload()
{
  const auto settings = global::Resolve(
    [&]() -> global::Result<std::shared_ptr<configuration::IProcessSettings>> {
      BOOST_LEAF_AUTO(text, settings::ReadFile(mSettingsPath));
      return configuration::ParseSettings(text, mSettingsPath);
    },
    [](const global::Error& aError) {
      LOGE("Changed settings are invalid and are ignored. reason="
           << aError.mMessage);
      return std::shared_ptr<configuration::IProcessSettings>();
    });
  if (settings && settings->Role() == mSettings->Role()) {
    LOGI("Settings are read again.");
    mKernel.Reload(*settings);
  }
}

void
Daemon::CheckIdle()
{
  if (mClock.Now() >= mEarliestExit && mKernel.IsIdle()) {
    QCoreApplication::exit(0);
  }
}

}
