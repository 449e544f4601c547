#pragma once

#include "configuration/processsettings.h"
#include "framework/global/iclock.h"
#include "framework/kernel/kernel.h"

#include <QTimer>
#include <memory>

namespace beryllever::app {

/** Runs the modules of one process until a signal asks it to stop. */
class Daemon
{
public:
  explicit Daemon(std::shared_ptr<configuration::IProcessSettings> aSettings);

  /** Returns the exit code. */
  int Run();

private:
  void BeginStop();
  void CheckIdle();

  global::SteadyClock mClock;
  kernel::Kernel mKernel;
  std::shared_ptr<configuration::IProcessSettings> mSettings;
  QTimer mStopTimer;
  global::TimePoint mEarliestExit{};
  bool mIsStopping = false;
};

}
