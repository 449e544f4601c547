#pragma once

#include <QSocketNotifier>
#include <functional>
#include <memory>

namespace beryllever::app {

/** Calls a function on the control thread for SIGTERM and SIGINT (stop) and for
 * SIGHUP (reload). */
class SignalWatcher
{
public:
  SignalWatcher(std::function<void()> aOnStop, std::function<void()> aOnReload);
  ~SignalWatcher();

private:
  std::function<void()> mOnStop;
  std::function<void()> mOnReload;
  int mDescriptor = -1;
  std::unique_ptr<QSocketNotifier> mNotifier;
};

}
