#pragma once

#include <condition_variable>
#include <deque>
#include <log4cplus/appender.h>
#include <mutex>
#include <string>
#include <thread>

namespace beryllever::log {

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

  void close() override;

  static constexpr size_t kMaxLines = 8192;

protected:
  void append(const log4cplus::spi::InternalLoggingEvent& aEvent) override;

private:
  void Run();
  /** Writes whole lines only: a line that the descriptor takes in part is
   * finished later, and those behind it are dropped and counted. */
  void WriteAll(const std::deque<std::string>& aLines, uint64_t aDropped);
  /** Returns whether all was written; keeps the rest to be written first. */
  bool WriteOrKeep(const std::string& aText);

  const int mDescriptor;
  const size_t mMaxLines;
  std::mutex mMutex;
  std::condition_variable mHasWork;
  std::deque<std::string> mLines;
  uint64_t mDropped = 0;
  bool mIsStopping = false;
  /** Rest of a line that was written in part. For the writing thread only, as
   * is the number below. */
  std::string mUnfinished;
  /** Lines that were dropped since the last notice of it. */
  uint64_t mUnwritten = 0;
  std::thread mThread;
};

}
