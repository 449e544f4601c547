#include "framework/metrics/metrics.h"

#include <CppUTest/TestHarness.h>

using beryllever::metrics::Metrics;

TEST_GROUP(Metrics){};

TEST(Metrics, ThePageShowsCountersAndQuantiles)
{
  Metrics metrics;

  metrics.Count("requests_total", { { "kind", "chat" } }, 3);
  for (int i = 1; i <= 100; ++i) {
    metrics.Sample("latency_seconds", i);
  }

  const std::string text = metrics.Text();
  CHECK(text.find("requests_total{kind=\"chat\"} 3") != std::string::npos);
  CHECK(text.find("latency_seconds_count 100") != std::string::npos);
}
