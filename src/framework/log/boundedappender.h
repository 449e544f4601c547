#pragma once

#include "framework/log/logtypes.h"

#include <chrono>
#include <log4cplus/appender.h>
#include <memory>
#include <thread>

namespace beryllever::log {

class LineWriter;

/**
 * Writes lines to standard output from a thread of its own. Who logs never
 * waits: a line that finds the queue full is dropped and counted, and the count
 * is written with the next lines.
 */
class BoundedAppender : public log4cplus::Appender
{
public:
  explicit BoundedAppender(int aDescriptor, size_t aMaxLines = kMaxLines);
  ~BoundedAppender() override;

  /** Writes what is queued, as far as its reader takes it within kCloseTime.
   */
  void close() override;
  LineCounts Counts() const;

  static constexpr size_t kMaxLines = 8192;
  static constexpr std::chrono::milliseconds kCloseTime{ 50 };

protected:
  void append(const log4cplus::spi::InternalLoggingEvent& aEvent) override;

private:
  /** The thread is left to itself if its last write does not return. */
  const std::shared_ptr<LineWriter> mWriter;
  std::thread mThread;
};

}
