#pragma once

#include "framework/log/logtypes.h"

#include <log4cplus/loggingmacros.h>
#include <string>

/**
 * Log macros. Each module defines kLogTag; the tag is the fixed prefix of its
 * lines. A line is a short sentence followed by key=value pairs.
 */
#define LOGD(aText)                                                            \
  LOG4CPLUS_DEBUG(log4cplus::Logger::getInstance(kLogTag), aText)
#define LOGI(aText)                                                            \
  LOG4CPLUS_INFO(log4cplus::Logger::getInstance(kLogTag), aText)
#define LOGW(aText)                                                            \
  LOG4CPLUS_WARN(log4cplus::Logger::getInstance(kLogTag), aText)
#define LOGE(aText)                                                            \
  LOG4CPLUS_ERROR(log4cplus::Logger::getInstance(kLogTag), aText)

namespace beryllever::log {

/** Starts logging to standard output. Levels: debug, info, warn, error. */
void
Start(const std::string& aProcess, const std::string& aLevel);

/** Writes what is pending, as far as its reader takes it, and stops logging. */
void
Stop();

/** Counts of the log that was started; none if there is none. */
LineCounts
Counts();

}
