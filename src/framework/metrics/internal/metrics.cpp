#include "framework/metrics/metrics.h"

#include <array>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace beryllever::metrics {

namespace acc = boost::accumulators;

namespace {

constexpr std::array<double, 3> kQuantiles{ 0.5, 0.95, 0.99 };

std::vector<prometheus::ClientMetric::Label>
ToPrometheus(const Labels& aLabels)
{
  std::vector<prometheus::ClientMetric::Label> labels;
  for (const auto& [name, value] : aLabels) {
    labels.push_back({ name, value });
  }
  return labels;
}

prometheus::MetricFamily&
FamilyFor(std::map<std::string, prometheus::MetricFamily>& aFamilies,
          const std::string& aName,
          prometheus::MetricType aType)
{
  prometheus::MetricFamily& family = aFamilies[aName];
  family.name = aName;
  family.type = aType;
  return family;
}

}

void
Metrics::Count(const std::string& aName, const Labels& aLabels, uint64_t aBy)
{
  const std::lock_guard lock(mMutex);
  mCounters[{ aName, aLabels }] += aBy;
}

void
Metrics::Set(const std::string& aName, double aValue, const Labels& aLabels)
{
  const std::lock_guard lock(mMutex);
  mGauges[{ aName, aLabels }] = aValue;
}

void
Metrics::Sample(const std::string& aName, double aValue, const Labels& aLabels)
{
  const std::lock_guard lock(mMutex);
  DistributionFor({ aName, aLabels })(aValue);
}

std::string
Metrics::Text() const
{
  std::map<std::string, prometheus::MetricFamily> families;
  const std::lock_guard lock(mMutex);
  for (const auto& [key, value] : mCounters) {
    prometheus::ClientMetric metric{ .label = ToPrometheus(key.second) };
    metric.counter.value = static_cast<double>(value);
    FamilyFor(families, key.first, prometheus::MetricType::Counter)
      .metric.push_back(metric);
  }
  for (const auto& [key, value] : mGauges) {
    prometheus::ClientMetric metric{ .label = ToPrometheus(key.second) };
    metric.gauge.value = value;
    FamilyFor(families, key.first, prometheus::MetricType::Gauge)
      .metric.push_back(metric);
  }
  for (const auto& [key, value] : mDistributions) {
    prometheus::ClientMetric metric{ .label = ToPrometheus(key.second) };
    metric.summary.sample_count = acc::count(value);
    metric.summary.sample_sum = acc::sum(value);
    for (size_t i = 0; i < kQuantiles.size(); ++i) {
      metric.summary.quantile.push_back(
        { kQuantiles[i], acc::extended_p_square(value)[i] });
    }
    metric.summary.quantile.push_back({ 1.0, acc::max(value) });
    FamilyFor(families, key.first, prometheus::MetricType::Summary)
      .metric.push_back(metric);
  }
  std::vector<prometheus::MetricFamily> list;
  for (auto& [name, family] : families) {
    list.push_back(std::move(family));
  }
  return prometheus::TextSerializer().Serialize(list);
}

Metrics::Distribution&
Metrics::DistributionFor(const Key& aKey)
{
  const auto it = mDistributions.find(aKey);
  if (it != mDistributions.end()) {
    return it->second;
  }
  Distribution fresh(acc::tag::extended_p_square::probabilities = kQuantiles);
  return mDistributions.emplace(aKey, std::move(fresh)).first->second;
}

}
