#pragma once

#include <QSocketNotifier>
#include <functional>
#include <memory>

namespace beryllever::app {

/** Turns SIGTERM and SIGINT (stop) and SIGHUP (reload) into calls on the
 * control thread. */
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
