#include "app/daemon.h"

#include "app/internal/signalwatcher.h"
#include "framework/log/log.h"

#include <QCoreApplication>

namespace beryllever::app {

namespace {

constexpr char kLogTag[] = "daemon";
constexpr std::chrono::milliseconds kIdleCheck{ 50 };
/** Time in which callers and peers hear of the stop before the process goes. */
constexpr std::chrono::milliseconds kMinStopTime{ 500 };
constexpr int kExitStartFailed = 3;

}

Daemon::Daemon(std::shared_ptr<configuration::IProcessSettings> aSettings)
  : mKernel(aSettings->Role())
  , mSettings(std::move(aSettings))
{
  mKernel.Provide<configuration::IProcessSettings>(mSettings);
}

int
Daemon::Run()
{
  SignalWatcher signals([this] { BeginStop(); });
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
Daemon::CheckIdle()
{
  if (mClock.Now() >= mEarliestExit && mKernel.IsIdle()) {
    QCoreApplication::exit(0);
  }
}

}
