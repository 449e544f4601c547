#include "app/internal/signalwatcher.h"

#include <csignal>
#include <pthread.h>
#include <sys/signalfd.h>
#include <unistd.h>

namespace beryllever::app {

SignalWatcher::SignalWatcher(std::function<void()> aOnStop)
  : mOnStop(std::move(aOnStop))
{
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  // Threads that start later inherit the mask, so that the signals come here
  // only.
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  mDescriptor = signalfd(-1, &set, SFD_CLOEXEC | SFD_NONBLOCK);
  mNotifier =
    std::make_unique<QSocketNotifier>(mDescriptor, QSocketNotifier::Read);
  QObject::connect(
    mNotifier.get(), &QSocketNotifier::activated, mNotifier.get(), [this] {
      signalfd_siginfo information;
      while (read(mDescriptor, &information, sizeof(information)) ==
             sizeof(information)) {
        mOnStop();
      }
    });
}

SignalWatcher::~SignalWatcher()
{
  mNotifier.reset();
  close(mDescriptor);
}

}
