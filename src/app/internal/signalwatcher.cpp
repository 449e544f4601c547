#include "app/internal/signalwatcher.h"

#include <csignal>
#include <pthread.h>
#include <sys/signalfd.h>
#include <unistd.h>

namespace beryllever::app {

namespace {

sigset_t
WatchedSignals()
{
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGHUP);
  return set;
}

}

void
BlockSignals()
{
  const sigset_t set = WatchedSignals();
  // Threads inherit the signal mask, so that the signals are only delivered to
  // the file descriptor.
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

SignalWatcher::SignalWatcher(std::function<void()> aOnStop,
                             std::function<void()> aOnReload)
  : mOnStop(std::move(aOnStop))
  , mOnReload(std::move(aOnReload))
{
  const sigset_t set = WatchedSignals();
  mDescriptor = signalfd(-1, &set, SFD_CLOEXEC | SFD_NONBLOCK);
  mNotifier =
    std::make_unique<QSocketNotifier>(mDescriptor, QSocketNotifier::Read);
  QObject::connect(
    mNotifier.get(), &QSocketNotifier::activated, mNotifier.get(), [this] {
      signalfd_siginfo information;
      while (read(mDescriptor, &information, sizeof(information)) ==
             sizeof(information)) {
        (information.ssi_signo == SIGHUP ? mOnReload : mOnStop)();
      }
    });
}

SignalWatcher::~SignalWatcher()
{
  mNotifier.reset();
  close(mDescriptor);
}

}
