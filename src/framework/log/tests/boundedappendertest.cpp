#include "framework/log/boundedappender.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <chrono>
#include <fcntl.h>
#include <log4cplus/initializer.h>
#include <log4cplus/loggingmacros.h>
#include <unistd.h>

using namespace beryllever;

TEST_GROUP(BoundedAppender)
{
  std::array<int, 2> mPipe{};

  static log4cplus::Logger Logger()
  {
    return log4cplus::Logger::getInstance("test");
  }

  void setup() override
  {
    LONGS_EQUAL(0, pipe(mPipe.data()));
  }

  std::string ReadAll() const
  {
    std::string text;
    std::array<char, 4096> buf;
    for (ssize_t n = 0; (n = read(mPipe[0], buf.data(), buf.size())) > 0;) {
      text.append(buf.data(), static_cast<size_t>(n));
    }
    close(mPipe[0]);
    return text;
  }
};

TEST(BoundedAppender, WritesLinesInTheirOrder)
{
  log4cplus::SharedAppenderPtr appender(new log::BoundedAppender(mPipe[1]));
  Logger().addAppender(appender);

  LOG4CPLUS_INFO(Logger(), "one");
  LOG4CPLUS_INFO(Logger(), "two");
  Logger().removeAllAppenders();
  appender->close();
  close(mPipe[1]);

  const std::string text = ReadAll();
  CHECK(text.find("one") < text.find("two"));
  CHECK(text.find("two") != std::string::npos);
}

TEST(BoundedAppender, NeverWaitsForAReaderAndCountsWhatItDrops)
{
  constexpr size_t kMaxLines = 100;
  constexpr int kLines = 20000;
  log4cplus::SharedAppenderPtr appender(
    new log::BoundedAppender(mPipe[1], kMaxLines));
  Logger().addAppender(appender);
  const auto began = std::chrono::steady_clock::now();

  // Nobody reads the pipe, which holds 64 KiB.
  for (int i = 0; i < kLines; ++i) {
    LOG4CPLUS_INFO(Logger(), std::string(1000, 'x'));
  }

  CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(5));
  Logger().removeAllAppenders();
  std::thread closer([&] {
    appender->close();
    close(mPipe[1]);
  });
  const std::string text = ReadAll();
  closer.join();
  CHECK(text.find("Lines were dropped.") != std::string::npos);
}
