#include "framework/log/log.h"

#include "framework/log/boundedappender.h"

#include <algorithm>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <memory>
#include <unistd.h>

namespace beryllever::log {

namespace {

std::unique_ptr<log4cplus::Initializer> sInitializer;
/** Held by the library's root logger too. */
log4cplus::helpers::SharedObjectPtr<BoundedAppender> sAppender;

std::string
Upper(std::string aText)
{
  std::transform(aText.begin(),
                 aText.end(),
                 aText.begin(),
                 [](unsigned char aC) { return std::toupper(aC); });
  return aText;
}

}

void
Start(const std::string& aProcess, const std::string& aLevel)
{
  sInitializer = std::make_unique<log4cplus::Initializer>();
  const std::string pattern =
    "%D{%Y-%m-%dT%H:%M:%S.%qZ} %-5p " + aProcess + " %c: %m%n";
  sAppender = new BoundedAppender(STDOUT_FILENO);
  sAppender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.addAppender(log4cplus::SharedAppenderPtr(sAppender.get()));
  root.setLogLevel(log4cplus::getLogLevelManager().fromString(Upper(aLevel)));
}

void
Stop()
{
  // The library's own end would wait for its thread pool, which is not used.
  log4cplus::Logger::getRoot().removeAllAppenders();
  if (sAppender) {
    sAppender->close();
  }
}

LineCounts
Counts()
{
  return sAppender ? sAppender->Counts() : LineCounts{};
}

}
