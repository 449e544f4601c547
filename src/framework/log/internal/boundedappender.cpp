#include "framework/log/boundedappender.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>
#include <sstream>
#include <string_view>
#include <unistd.h>
#include <utility>

namespace beryllever::log {

namespace {

/** Lines are gathered for this long, so that a burst costs one write. */
constexpr std::chrono::milliseconds kGather{ 20 };

/** Returns the number of bytes that were written before the descriptor took no
 * more. */
size_t
WriteSome(int aDescriptor, std::string_view aText)
{
  size_t written = 0;
  while (written < aText.size()) {
    const ssize_t n =
      write(aDescriptor, aText.data() + written, aText.size() - written);
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n <= 0) {
      // Nobody reads the log now; there is nowhere to say so.
      break;
    }
    written += static_cast<size_t>(n);
  }
  return written;
}

}

BoundedAppender::BoundedAppender(int aDescriptor, size_t aMaxLines)
  : mDescriptor(aDescriptor)
  , mMaxLines(aMaxLines)
{
  // Signals are for the control thread.
  sigset_t all;
  sigset_t before;
  sigfillset(&all);
  pthread_sigmask(SIG_SETMASK, &all, &before);
  mThread = std::thread([this] { Run(); });
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

BoundedAppender::~BoundedAppender()
{
  destructorImpl();
}

void
BoundedAppender::close()
{
  {
    const std::lock_guard lock(mMutex);
    if (mIsStopping) {
      return;
    }
    mIsStopping = true;
  }
  mHasWork.notify_one();
  mThread.join();
  closed = true;
}

void
BoundedAppender::append(const log4cplus::spi::InternalLoggingEvent& aEvent)
{
  std::ostringstream text;
  layout->formatAndAppend(text, aEvent);
  const std::lock_guard lock(mMutex);
  if (mLines.size() >= mMaxLines) {
    ++mDropped;
    return;
  }
  mLines.push_back(text.str());
  if (mLines.size() == 1) {
    mHasWork.notify_one();
  }
}

void
BoundedAppender::Run()
{
  std::unique_lock lock(mMutex);
  while (!mIsStopping || !mLines.empty()) {
    mHasWork.wait(lock, [this] { return mIsStopping || !mLines.empty(); });
    mHasWork.wait_for(lock, kGather, [this] { return mIsStopping; });
    std::deque<std::string> lines = std::exchange(mLines, {});
    const uint64_t dropped = std::exchange(mDropped, 0);
    lock.unlock();
    WriteAll(lines, dropped);
    lock.lock();
  }
}

void
BoundedAppender::WriteAll(const std::deque<std::string>& aLines,
                          uint64_t aDropped)
{
  mUnwritten += aDropped;
  if (!WriteOrKeep(std::exchange(mUnfinished, {}))) {
    mUnwritten += aLines.size();
    return;
  }
  if (mUnwritten > 0) {
    const std::string notice =
      "WARN  log: Lines were dropped. lines=" + std::to_string(mUnwritten) +
      "\n";
    const uint64_t unwritten = std::exchange(mUnwritten, 0);
    const bool isWritten = WriteOrKeep(notice);
    if (mUnfinished.size() == notice.size()) {
      mUnfinished.clear();
      mUnwritten = unwritten;
    }
    if (!isWritten) {
      mUnwritten += aLines.size();
      return;
    }
  }
  std::string text;
  for (const std::string& line : aLines) {
    text += line;
  }
  const size_t written = WriteSome(mDescriptor, text);
  const bool isInsideLine = written > 0 && text[written - 1] != '\n';
  const size_t end = isInsideLine ? text.find('\n', written) + 1 : written;
  mUnfinished = text.substr(written, end - written);
  mUnwritten += static_cast<uint64_t>(std::count(
    text.begin() + static_cast<std::ptrdiff_t>(end), text.end(), '\n'));
}

bool
BoundedAppender::WriteOrKeep(const std::string& aText)
{
  mUnfinished = aText.substr(WriteSome(mDescriptor, aText));
  return mUnfinished.empty();
}

}
