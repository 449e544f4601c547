#pragma once

#include "configuration/processsettings.h"
#include "framework/global/iclock.h"
#include "framework/kernel/kernel.h"

#include <QTimer>
#include <memory>

namespace beryllever::app {

/** Holds signals back until Daemon::Run() handles them. Called before any
 * thread is started. Otherwise a SIGHUP during the start would end the process.
 */
void
BlockSignals();

/** Runs the modules of one process until a signal requests the stop. */
class Daemon
{
public:
  Daemon(std::shared_ptr<configuration::IProcessSettings> aSettings,
         std::string aSettingsPath);

  /** Returns the exit code. */
  int Run();

private:
  void BeginStop();
  void Reload();
  void CheckSettingsFile();
  void CheckIdle();

  global::SteadyClock mClock;
  kernel::Kernel mKernel;
  std::shared_ptr<configuration::IProcessSettings> mSettings;
  const std::string mSettingsPath;
  int64_t mSettingsModified = 0;
  QTimer mSettingsTimer;
  QTimer mStopTimer;
  global::TimePoint mEarliestExit{};
  bool mIsStopping = false;
};

}
