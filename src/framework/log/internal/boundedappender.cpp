#include "framework/log/boundedappender.h"

#include <cerrno>
#include <csignal>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>
#include <sstream>
#include <unistd.h>
#include <utility>

namespace beryllever::log {

namespace {

/** Lines are gathered for this long, so that a burst costs one write. */
constexpr std::chrono::milliseconds kGather{ 20 };

void
WriteWhole(int aDescriptor, const std::string& aText)
{
  size_t written = 0;
  while (written < aText.size()) {
    const ssize_t n =
      write(aDescriptor, aText.data() + written, aText.size() - written);
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n <= 0) {
      // Nobody reads the log any more; there is nowhere to say so.
      return;
    }
    written += static_cast<size_t>(n);
  }
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
    WriteAll(std::move(lines), dropped);
    lock.lock();
  }
}

void
BoundedAppender::WriteAll(std::deque<std::string> aLines,
                          uint64_t aDropped) const
{
  std::string text;
  for (const std::string& line : aLines) {
    text += line;
  }
  if (aDropped > 0) {
    text +=
      "WARN  log: Lines were dropped. lines=" + std::to_string(aDropped) + "\n";
  }
  WriteWhole(mDescriptor, text);
}

}
