#include "framework/log/boundedappender.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <atomic>
#include <chrono>
#include <fcntl.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/loggingmacros.h>
#include <sstream>
#include <thread>
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

  /** Returns the number of bytes read; -1 if there are none now. */
  ssize_t ReadSome() const
  {
    std::array<char, 4096> buf;
    return read(mPipe[0], buf.data(), buf.size());
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

TEST(BoundedAppender, ADescriptorThatTakesNoMoreTearsALine)
{
  constexpr int kLines = 2000;
  fcntl(mPipe[1], F_SETFL, O_NONBLOCK);
  log4cplus::SharedAppenderPtr appender(new log::BoundedAppender(mPipe[1]));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  Logger().addAppender(appender);
  const std::string line(99, 'x');
  std::string text;

  // More than the pipe holds, which is read only after the burst.
  for (int i = 0; i < kLines; ++i) {
    LOG4CPLUS_INFO(Logger(), line);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  std::thread reader([&] { text = ReadAll(); });
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  LOG4CPLUS_INFO(Logger(), line);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  Logger().removeAllAppenders();
  appender->close();
  close(mPipe[1]);
  reader.join();

  std::istringstream lines(text);
  int whole = 0;
  int dropped = 0;
  const std::string notice = "WARN  log: Lines were dropped. lines=";
  for (std::string it; std::getline(lines, it);) {
    if (it.starts_with(notice)) {
      dropped += std::stoi(it.substr(notice.size()));
      continue;
    }
    CHECK_EQUAL(line, it);
    ++whole;
  }
  CHECK(dropped > 0);
  LONGS_EQUAL(kLines + 1, whole + dropped);
}

/** Guards against a stopped process that stays until it is killed because
 * nobody reads its log. */
TEST(BoundedAppender, AReaderThatNeverReadsDoesNotKeepTheProcessFromEnding)
{
  constexpr int kLines = 200;
  log4cplus::helpers::SharedObjectPtr<log::BoundedAppender> appender(
    new log::BoundedAppender(mPipe[1]));
  Logger().addAppender(log4cplus::SharedAppenderPtr(appender.get()));
  // More than the pipe holds.
  for (int i = 0; i < kLines; ++i) {
    LOG4CPLUS_INFO(Logger(), std::string(1000, 'x'));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  CHECK(appender->Counts().mWaiting > 0);
  Logger().removeAllAppenders();
  const auto began = std::chrono::steady_clock::now();
  std::atomic<bool> hasClosed = false;

  std::thread closer([&] {
    appender->close();
    hasClosed = true;
  });
  while (!hasClosed &&
         std::chrono::steady_clock::now() - began < std::chrono::seconds(1)) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }

  const bool hasClosedInTime = hasClosed;
  fcntl(mPipe[0], F_SETFL, O_NONBLOCK);
  while (!hasClosed) {
    ReadSome();
  }
  closer.join();
  // Lets the writing thread end.
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(1);
  while (std::chrono::steady_clock::now() < end && ReadSome() != 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  close(mPipe[1]);
  close(mPipe[0]);
  CHECK(hasClosedInTime);
}

/** Guards against last lines that are lost because the reader is behind when
 * the process ends. */
TEST(BoundedAppender, TheLastLinesReachAReaderThatIsBehind)
{
  constexpr int kLines = 500;
  fcntl(mPipe[1], F_SETFL, O_NONBLOCK);
  log4cplus::helpers::SharedObjectPtr<log::BoundedAppender> appender(
    new log::BoundedAppender(mPipe[1]));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  Logger().addAppender(log4cplus::SharedAppenderPtr(appender.get()));
  std::string text;

  for (int i = 0; i < kLines; ++i) {
    LOG4CPLUS_INFO(Logger(), std::string(1000, 'x'));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  CHECK(appender->Counts().mDropped > 0);
  LONGS_EQUAL(0, appender->Counts().mWaiting);
  LOG4CPLUS_INFO(Logger(), "the last line");
  std::thread reader([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    text = ReadAll();
  });
  Logger().removeAllAppenders();
  appender->close();
  close(mPipe[1]);
  reader.join();

  CHECK(text.find("Lines were dropped.") != std::string::npos);
  CHECK(text.ends_with("the last line\n"));
}

/** Guards against counts that are wrong because a message has line breaks. */
TEST(BoundedAppender, AMessageOfSeveralLinesCountsOnce)
{
  log4cplus::helpers::SharedObjectPtr<log::BoundedAppender> appender(
    new log::BoundedAppender(mPipe[1]));
  Logger().addAppender(log4cplus::SharedAppenderPtr(appender.get()));

  LOG4CPLUS_INFO(Logger(), "one\ntwo\nthree");
  Logger().removeAllAppenders();
  appender->close();
  close(mPipe[1]);

  LONGS_EQUAL(0, appender->Counts().mDropped);
  LONGS_EQUAL(0, appender->Counts().mWaiting);
  CHECK(ReadAll().find("dropped") == std::string::npos);
}
