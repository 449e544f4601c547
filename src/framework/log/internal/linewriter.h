#pragma once

#include "framework/log/logtypes.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>

namespace beryllever::log {

/**
 * Queue of lines and the loop that writes them to a descriptor. Who adds a line
 * never waits: a line that finds the queue full is dropped and counted, and the
 * count is written with the next lines. Add, Stop and WaitForEnd may be called
 * from any thread.
 */
class LineWriter
{
public:
  LineWriter(int aDescriptor, size_t aMaxLines);

  void Add(std::string aLine);
  /** Writes lines until it is stopped and the queue is empty. */
  void Run();
  /** Ends the loop. A descriptor that takes no more is waited for until
   * aDeadline. */
  void Stop(std::chrono::steady_clock::time_point aDeadline);
  /** Returns whether the loop has ended before aDeadline. */
  bool WaitForEnd(std::chrono::steady_clock::time_point aDeadline);
  LineCounts Counts() const;

private:
  /** Writes what is owed, then the lines. Those that the descriptor does not
   * take are dropped and counted. */
  void WriteAll(const std::deque<std::string>& aLines, uint64_t aDropped);
  /** Writes whole lines only: a line that the descriptor takes in part is
   * finished later. Returns the number of lines, that one included. A line may
   * have line breaks of its own. */
  size_t WriteLines(const std::deque<std::string>& aLines);
  /** Writes the rest of a line and the number of lines that were dropped.
   * Returns whether both were written. */
  bool WriteOwed();
  /** Returns whether all was written; keeps the rest to be written first. */
  bool WriteOrKeep(const std::string& aText);
  /** Returns the number of bytes that were written before the descriptor took
   * no more. */
  size_t WriteSome(std::string_view aText) const;
  /** Waits for the descriptor if the loop is to end. Returns whether it may
   * take more. */
  bool WaitWritable() const;

  const int mDescriptor;
  const size_t mMaxLines;
  mutable std::mutex mMutex;
  std::condition_variable mHasChanged;
  std::deque<std::string> mLines;
  /** Lines that found the queue full since the loop last looked. */
  uint64_t mQueueFull = 0;
  bool mIsStopping = false;
  bool mHasEnded = false;
  std::chrono::steady_clock::time_point mWriteDeadline{};
  /** Rest of a line that was written in part. For the loop only, as is the
   * number below. */
  std::string mUnfinished;
  /** Lines that were dropped since the last notice of it. */
  uint64_t mUnreported = 0;
  std::atomic<uint64_t> mWaitingCount = 0;
  std::atomic<uint64_t> mDroppedCount = 0;
};

}
