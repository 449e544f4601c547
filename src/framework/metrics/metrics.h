#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace beryllever::metrics {

/** Labels of one series, by name. */
using Labels = std::map<std::string, std::string>;

/** Figures of a process, kept by Boost.Accumulators. Safe to call from any
 * thread. */
class Metrics
{
public:
  /** Adds to a counter that only grows. */
  void Count(const std::string& aName,
             const Labels& aLabels = {},
             uint64_t aBy = 1);
  /** Sets a value that may rise and fall. */
  void Set(const std::string& aName, double aValue, const Labels& aLabels = {});
  /** Records one sample of a distribution. */
  void Sample(const std::string& aName,
              double aValue,
              const Labels& aLabels = {});

  /** All series in the Prometheus text format. */
  std::string Text() const;

private:
  using Distribution = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count,
                               boost::accumulators::tag::sum,
                               boost::accumulators::tag::max,
                               boost::accumulators::tag::extended_p_square>>;
  using Key = std::pair<std::string, Labels>;

  Distribution& DistributionFor(const Key& aKey);

  mutable std::mutex mMutex;
  std::map<Key, uint64_t> mCounters;
  std::map<Key, double> mGauges;
  std::map<Key, Distribution> mDistributions;
};

}
