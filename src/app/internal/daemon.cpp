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
constexpr std::chrono::milliseconds kIdleCheck{ 50 };
/** Time in which callers and peers hear of the stop before the process goes. */
constexpr std::chrono::milliseconds kMinStopTime{ 500 };
/** The settings file may change without a signal. */
constexpr std::chrono::milliseconds kSettingsCheck{ 1000 };
constexpr int kExitStartFailed = 3;

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
    LOGE("The process cannot start. reason=" << error.what());
    return kExitStartFailed;
  }
  LOGI("Ready for work. role="
       << mSettings->Role() << " vm=" << mSettings->VmName()
       << " availabilityZone=" << mSettings->AvailabilityZone());
  QObject::connect(&mSettingsTimer, &QTimer::timeout, &mSettingsTimer, [this] {
    CheckSettingsFile();
  });
  mSettingsTimer.start(kSettingsCheck);
  const int code = QCoreApplication::exec();
  mKernel.StopAll();
  return code;
}

void
Daemon::BeginStop()
{
  // Further signals change nothing: a planned stop cuts off no request.
  if (mIsStopping) {
    LOGI("Already stopping; requests in flight run to their end.");
    return;
  }
  mIsStopping = true;
  mEarliestExit = mClock.Now() + kMinStopTime;
  mKernel.BeginStop();
  QObject::connect(
    &mStopTimer, &QTimer::timeout, &mStopTimer, [this] { CheckIdle(); });
  mStopTimer.start(kIdleCheck);
}

void
Daemon::CheckSettingsFile()
{
  const auto changed = QFileInfo(QString::fromStdString(mSettingsPath))
                         .lastModified()
                         .toMSecsSinceEpoch();
  if (mSettingsChanged != 0 && changed != mSettingsChanged) {
    Reload();
  }
  mSettingsChanged = changed;
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
      LOGE("Changed settings are bad and are not taken. reason="
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
