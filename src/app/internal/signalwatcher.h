#pragma once

#include <QSocketNotifier>
#include <functional>
#include <memory>

namespace beryllever::app {

/** Turns SIGTERM and SIGINT into calls on the control thread. */
class SignalWatcher
{
public:
  explicit SignalWatcher(std::function<void()> aOnStop);
  ~SignalWatcher();

private:
  std::function<void()> mOnStop;
  int mDescriptor = -1;
  std::unique_ptr<QSocketNotifier> mNotifier;
};

}
