// Sends chats one after another and reports the time to the first token and
// between tokens.
#include "framework/net/httpcall.h"
#include "report.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <chrono>

using namespace beryllever;

namespace {

using Clock = std::chrono::steady_clock;

double
MillisecondsSince(Clock::time_point aStart)
{
  return std::chrono::duration<double, std::milli>(Clock::now() - aStart)
    .count();
}

/** Times of one chat, in milliseconds. */
struct Times
{
  double mFirstToken = 0;
  std::vector<double> mGaps;
};

Times
SendChat(const QUrl& aUrl, int aTokens, int aNumber)
{
  const nlohmann::json message{
    { "role", "user" }, { "content", "message " + std::to_string(aNumber) }
  };
  const nlohmann::json body{ { "messages", { message } },
                             { "stream", true },
                             { "max_tokens", aTokens } };
  Times times;
  QEventLoop loop;
  const auto start = Clock::now();
  auto last = start;
  net::HttpCall call(
    { .mMethod = "POST",
      .mUrl = aUrl,
      .mHeaders = { { "X-Workspace", "gas" },
                    { "X-Request-Id", QByteArray::number(aNumber) } },
      .mBody = QByteArray::fromStdString(body.dump()) },
    std::chrono::seconds(30));
  call.SetOnReadable([&] {
    call.Read(call.Readable());
    if (last == start) {
      times.mFirstToken = MillisecondsSince(start);
    } else {
      times.mGaps.push_back(MillisecondsSince(last));
    }
    last = Clock::now();
  });
  call.SetOnEnd([&](const net::HttpOutcome&) { loop.quit(); });
  loop.exec();
  return times;
}

}

int
main(int aCount, char** aArguments)
{
  QCoreApplication application(aCount, aArguments);
  const QStringList arguments = QCoreApplication::arguments();
  const QUrl url(arguments.value(1) + "/v1/chat/completions");
  const int chats = arguments.value(2, "200").toInt();
  const int tokens = arguments.value(3, "20").toInt();
  std::vector<double> first;
  std::vector<double> gaps;
  for (int i = 0; i < chats; ++i) {
    const Times times = SendChat(url, tokens, i);
    if (i >= chats / 10) {
      first.push_back(times.mFirstToken);
      gaps.insert(gaps.end(), times.mGaps.begin(), times.mGaps.end());
    }
  }
  const nlohmann::json figures{
    { "firstTokenP50", benchmarks::Rounded(benchmarks::Quantile(first, 0.5)) },
    { "firstTokenP95", benchmarks::Rounded(benchmarks::Quantile(first, 0.95)) },
    { "gapP50", benchmarks::Rounded(benchmarks::Quantile(gaps, 0.5)) },
    { "gapP95", benchmarks::Rounded(benchmarks::Quantile(gaps, 0.95)) }
  };
  std::cout << figures.dump() << std::endl;
  return 0;
}
