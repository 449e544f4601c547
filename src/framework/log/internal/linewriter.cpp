#include "framework/log/internal/linewriter.h"

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace beryllever::log {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** Lines are gathered for this long, so that a burst costs one write. */
constexpr milliseconds kGather{ 20 };

}

LineWriter::LineWriter(int aDescriptor, size_t aMaxLines)
  : mDescriptor(aDescriptor)
  , mMaxLines(aMaxLines)
{
}

void
LineWriter::Add(std::string aLine)
{
  const std::lock_guard lock(mMutex);
  if (mLines.size() >= mMaxLines) {
    ++mQueueFull;
    ++mDroppedCount;
    return;
  }
  ++mWaitingCount;
  mLines.push_back(std::move(aLine));
  if (mLines.size() == 1) {
    mHasChanged.notify_all();
  }
}

void
LineWriter::Run()
{
  std::unique_lock lock(mMutex);
  while (!mIsStopping || !mLines.empty()) {
    mHasChanged.wait(lock, [this] { return mIsStopping || !mLines.empty(); });
    mHasChanged.wait_for(lock, kGather, [this] { return mIsStopping; });
    std::deque<std::string> lines = std::exchange(mLines, {});
    const uint64_t dropped = std::exchange(mQueueFull, 0);
    lock.unlock();
    WriteAll(lines, dropped);
    lock.lock();
  }
  lock.unlock();
  WriteOwed();
  lock.lock();
  mHasEnded = true;
  mHasChanged.notify_all();
}

void
LineWriter::Stop(steady_clock::time_point aDeadline)
{
  const std::lock_guard lock(mMutex);
  mIsStopping = true;
  mWriteDeadline = aDeadline;
  mHasChanged.notify_all();
}

bool
LineWriter::WaitForEnd(steady_clock::time_point aDeadline)
{
  std::unique_lock lock(mMutex);
  return mHasChanged.wait_until(lock, aDeadline, [this] { return mHasEnded; });
}

LineCounts
LineWriter::Counts() const
{
  return { mWaitingCount, mDroppedCount };
}

void
LineWriter::WriteAll(const std::deque<std::string>& aLines, uint64_t aDropped)
{
  mUnreported += aDropped;
  const uint64_t dropped =
    WriteOwed() ? aLines.size() - WriteLines(aLines) : aLines.size();
  mUnreported += dropped;
  mDroppedCount += dropped;
  mWaitingCount -= aLines.size();
}

size_t
LineWriter::WriteLines(const std::deque<std::string>& aLines)
{
  std::string text;
  for (const std::string& line : aLines) {
    text += line;
  }
  const size_t written = WriteSome(text);
  size_t n = 0;
  size_t end = 0;
  while (n < aLines.size() && end < written) {
    end += aLines[n].size();
    ++n;
  }
  mUnfinished = text.substr(written, end - written);
  return n;
}

bool
LineWriter::WriteOwed()
{
  if (!WriteOrKeep(std::exchange(mUnfinished, {}))) {
    return false;
  }
  if (mUnreported == 0) {
    return true;
  }
  const std::string notice =
    "WARN  log: Lines were dropped. lines=" + std::to_string(mUnreported) +
    "\n";
  const uint64_t unreported = std::exchange(mUnreported, 0);
  const bool isWritten = WriteOrKeep(notice);
  if (mUnfinished.size() == notice.size()) {
    mUnfinished.clear();
    mUnreported = unreported;
  }
  return isWritten;
}

bool
LineWriter::WriteOrKeep(const std::string& aText)
{
  mUnfinished = aText.substr(WriteSome(aText));
  return mUnfinished.empty();
}

size_t
LineWriter::WriteSome(std::string_view aText) const
{
  size_t written = 0;
  while (written < aText.size()) {
    const ssize_t n =
      write(mDescriptor, aText.data() + written, aText.size() - written);
    if (n > 0) {
      written += static_cast<size_t>(n);
      continue;
    }
    const bool mayTakeMore =
      n < 0 && (errno == EINTR || (errno == EAGAIN && WaitWritable()));
    if (!mayTakeMore) {
      // Nobody reads the log now; there is nowhere to say so.
      break;
    }
  }
  return written;
}

bool
LineWriter::WaitWritable() const
{
  steady_clock::time_point deadline;
  {
    const std::lock_guard lock(mMutex);
    deadline = mWriteDeadline;
  }
  const auto left =
    std::chrono::ceil<milliseconds>(deadline - steady_clock::now());
  if (left <= milliseconds(0)) {
    return false;
  }
  pollfd state{ .fd = mDescriptor, .events = POLLOUT, .revents = 0 };
  return poll(&state, 1, static_cast<int>(left.count())) > 0;
}

}
