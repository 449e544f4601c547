#include "framework/log/boundedappender.h"

#include "framework/log/internal/linewriter.h"

#include <csignal>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>
#include <sstream>

namespace beryllever::log {

BoundedAppender::BoundedAppender(int aDescriptor, size_t aMaxLines)
  : mWriter(std::make_shared<LineWriter>(aDescriptor, aMaxLines))
{
  // Signals are for the control thread.
  sigset_t all;
  sigset_t before;
  sigfillset(&all);
  pthread_sigmask(SIG_SETMASK, &all, &before);
  mThread = std::thread([writer = mWriter] { writer->Run(); });
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

BoundedAppender::~BoundedAppender()
{
  destructorImpl();
}

void
BoundedAppender::close()
{
  if (!mThread.joinable()) {
    return;
  }
  const auto deadline = std::chrono::steady_clock::now() + kCloseTime;
  mWriter->Stop(deadline);
  // A reader that does not read must not keep the process from ending.
  if (mWriter->WaitForEnd(deadline)) {
    mThread.join();
  } else {
    mThread.detach();
  }
  closed = true;
}

LineCounts
BoundedAppender::Counts() const
{
  return mWriter->Counts();
}

void
BoundedAppender::append(const log4cplus::spi::InternalLoggingEvent& aEvent)
{
  std::ostringstream text;
  layout->formatAndAppend(text, aEvent);
  mWriter->Add(text.str());
}

}
