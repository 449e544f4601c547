// Step-time skew and cost of rebalancing under drifting popularity, beside
// baselines.
#include "rebalancing/planner.h"
#include "rebalancing/popularity.h"
#include "report.h"

#include <cmath>
#include <functional>
#include <numeric>
#include <random>

using namespace beryllever;
using namespace beryllever::rebalancing;

namespace {

constexpr unsigned kSeed = 11;
constexpr size_t kExperts = 64;
constexpr size_t kWindows = 288;
constexpr size_t kStepsPerWindow = 20;
constexpr size_t kTokensPerRank = 256;
constexpr double kZipf = 0.6;
constexpr double kNewWeight = 0.3;
constexpr PlannerLimits kLimits{ .mExpertBytes = 44'000'000,
                                 .mBytesPerSecond = 200e6,
                                 .mHorizon = std::chrono::seconds(1800),
                                 .mMaxMoves = 32 };

/** Popularity of each expert in a window. */
using Drift = std::function<Loads(size_t aWindow)>;

Loads
ZipfFrom(size_t aFirst)
{
  Loads loads(kExperts);
  for (size_t i = 0; i < kExperts; ++i) {
    loads[(aFirst + i * 29) % kExperts] =
      1 / std::pow(static_cast<double>(i + 1), kZipf);
  }
  return loads;
}

Loads
Blend(const Loads& aLeft, const Loads& aRight, double aShare)
{
  Loads loads(kExperts);
  for (size_t i = 0; i < kExperts; ++i) {
    loads[i] = aLeft[i] * (1 - aShare) + aRight[i] * aShare;
  }
  return loads;
}

Loads
Daily(size_t aWindow)
{
  const double phase = 2 * M_PI * static_cast<double>(aWindow) / kWindows;
  return Blend(ZipfFrom(0), ZipfFrom(17), 0.5 - 0.5 * std::cos(phase));
}

Loads
Jump(size_t aWindow)
{
  return ZipfFrom(aWindow < kWindows / 2 ? 0 : 31);
}

Loads
Season(size_t aWindow)
{
  return Blend(
    ZipfFrom(0), ZipfFrom(41), static_cast<double>(aWindow) / kWindows);
}

/** Changes the placement before a window; returns the number of moves. */
class IPolicy
{
public:
  virtual ~IPolicy() = default;
  virtual size_t Change(Placement& aPlacement,
                        const Loads& aSmoothed,
                        const Loads& aNext) = 0;
};

class Never : public IPolicy
{
public:
  size_t Change(Placement&, const Loads&, const Loads&) override { return 0; }
};

class Anew : public IPolicy
{
public:
  size_t Change(Placement& aPlacement,
                const Loads& aSmoothed,
                const Loads&) override
  {
    return Take(aPlacement,
                Placement::Balanced(
                  aSmoothed, aPlacement.Ranks(), aPlacement.Slots()[0].size()));
  }

protected:
  static size_t Take(Placement& aPlacement, Placement aNext)
  {
    const size_t moves = aNext.MovesFrom(aPlacement);
    aPlacement = std::move(aNext);
    return moves;
  }
};

class Oracle : public Anew
{
public:
  size_t Change(Placement& aPlacement,
                const Loads&,
                const Loads& aNext) override
  {
    return Take(aPlacement,
                Placement::Balanced(
                  aNext, aPlacement.Ranks(), aPlacement.Slots()[0].size()));
  }
};

class Moves : public IPolicy
{
public:
  size_t Change(Placement& aPlacement,
                const Loads& aSmoothed,
                const Loads&) override
  {
    Plan plan = Planner(kLimits).Improve(aPlacement, aSmoothed);
    aPlacement = std::move(plan.mPlacement);
    return plan.mMoves;
  }
};

Loads
Sample(const Loads& aPopularity, size_t aTokens, std::mt19937& aRandom)
{
  double sum = 0;
  for (const double load : aPopularity) {
    sum += load;
  }
  Loads tokens(kExperts);
  for (size_t i = 0; i < kExperts; ++i) {
    std::poisson_distribution<int> count(aPopularity[i] / sum *
                                         static_cast<double>(aTokens));
    tokens[i] = count(aRandom);
  }
  return tokens;
}

void
Measure(const std::string& aDriftName,
        const Drift& aDrift,
        size_t aRanks,
        size_t aSlots,
        const std::string& aPolicyName,
        IPolicy& aPolicy)
{
  std::mt19937 random(kSeed);
  Placement placement = Placement::RoundRobin(kExperts, aRanks, aSlots);
  Popularity popularity(kExperts);
  std::vector<double> skews;
  size_t moves = 0;
  for (size_t window = 0; window < kWindows; ++window) {
    const Loads truth = aDrift(window);
    if (window > 0) {
      moves += aPolicy.Change(placement, popularity.Smoothed(), truth);
    }
    Loads seen(kExperts, 0);
    for (size_t step = 0; step < kStepsPerWindow; ++step) {
      const Loads tokens = Sample(truth, aRanks * kTokensPerRank, random);
      skews.push_back(placement.Skew(tokens));
      for (size_t i = 0; i < kExperts; ++i) {
        seen[i] += tokens[i];
      }
    }
    popularity.AddWindow(seen, kNewWeight);
  }
  const double mean = std::accumulate(skews.begin(), skews.end(), 0.0) /
                      static_cast<double>(skews.size());
  benchmarks::Report(
    "step-skew",
    kSeed,
    { { "drift", aDriftName },
      { "ranks", aRanks },
      { "slots", aSlots },
      { "policy", aPolicyName },
      { "skewP50", benchmarks::Rounded(benchmarks::Quantile(skews, 0.5)) },
      { "skewP95", benchmarks::Rounded(benchmarks::Quantile(skews, 0.95)) },
      { "skewMean", benchmarks::Rounded(mean) },
      { "moves", moves },
      { "gigabytes",
        benchmarks::Rounded(static_cast<double>(moves * kLimits.mExpertBytes) /
                            1e9) },
      { "weightStoreSeconds",
        benchmarks::Rounded(static_cast<double>(moves * kLimits.mExpertBytes) /
                            kLimits.mBytesPerSecond) } });
}

}

int
main()
{
  const std::vector<std::pair<std::string, Drift>> drifts{
    { "daily", Daily }, { "jump", Jump }, { "season", Season }
  };
  const std::vector<std::pair<size_t, size_t>> groups{ { 8, 10 },
                                                       { 64, 2 },
                                                       { 256, 1 } };
  for (const auto& [ranks, slots] : groups) {
    for (const auto& [name, drift] : drifts) {
      Never never;
      Anew anew;
      Moves moves;
      Oracle oracle;
      Measure(name, drift, ranks, slots, "none", never);
      Measure(name, drift, ranks, slots, "anew", anew);
      Measure(name, drift, ranks, slots, "moves", moves);
      Measure(name, drift, ranks, slots, "oracle", oracle);
    }
  }
  return 0;
}
