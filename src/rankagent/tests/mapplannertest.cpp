#include "rankagent/internal/mapplanner.h"
#include "rebalancing/layerplanner.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <random>

using namespace beryllever;
using namespace beryllever::rankagent;

namespace {

constexpr size_t kRanks = 63;
constexpr size_t kLayers = 2;
constexpr size_t kExperts = 252;
constexpr int kPlacesPerRank = 5;
/** Selections in a window of the ranks whose counts are read. */
constexpr double kSelections = 500000;
constexpr std::chrono::milliseconds kWindow{ 315 };
/** Windows between two shifts: 4 s, as the leader samples 63 ranks every 315
 * ms. */
constexpr int kWindowsPerShift = 13;
/** Windows that pass between a plan and its first pass. */
constexpr int kWindowsPerChange = 2;
/** Windows after a shift within which passes have to keep the target again:
 * 1.6 s, less than the 2 s after which callers leave a silent stream. */
constexpr int kWindowsToFollow = 5;
constexpr int kShifts = 12;
constexpr uint64_t kSeeds = 5;

/** Profile of the engines as published. */
published::EngineProfile
Profile()
{
  return { .mSlots = 10,
           .mStepsPerPass = 6,
           .mStepMilliseconds = 5.85,
           .mStepMillisecondsPerSequence = 0.426,
           .mStepMillisecondsPerThousandContext = 0.0432,
           .mUsualPromptTokens = 840,
           .mExpertLayers = kLayers,
           .mExperts = kExperts,
           .mPlacesPerRank = kPlacesPerRank,
           .mSparePerRank = 2,
           .mExpertFraction = 0.85 };
}

/** Longest pause between two events that the routes declare. */
constexpr double kTargetGapMilliseconds = 120;

/** Duration of a pass of full engines. */
double
PassMilliseconds(const published::EngineProfile& aEngine, double aImbalance)
{
  const double context = aEngine.mUsualPromptTokens / 1000.0;
  const double step =
    aEngine.mStepMilliseconds +
    aEngine.mSlots * (aEngine.mStepMillisecondsPerSequence +
                      aEngine.mStepMillisecondsPerThousandContext * context);
  return aEngine.mStepsPerPass * step *
         (1 - aEngine.mExpertFraction + aEngine.mExpertFraction * aImbalance);
}

/** Demand for experts that shifts to other experts, as observed by a leader. */
class SimulatedDemand
{
public:
  explicit SimulatedDemand(uint64_t aSeed)
    : mRandom(aSeed)
  {
    Shift();
    mLoadsBefore = mLoads;
  }

  /** Moves the part of the demand that shifts to other experts. */
  void Shift()
  {
    mLoadsBefore = mLoads;
    for (size_t layer = 0; layer < kLayers; ++layer) {
      rebalancing::Loads shifting = SkewedLoads();
      std::shuffle(shifting.begin(), shifting.end(), mRandom);
      mLoads[layer] = SkewedLoads();
      for (size_t expert = 0; expert < kExperts; ++expert) {
        mLoads[layer][expert] +=
          kShiftingShare * (shifting[expert] - mLoads[layer][expert]);
      }
    }
  }

  const rebalancing::Loads& Layer(size_t aLayer) const
  {
    return mLoads[aLayer];
  }

  /** Counts of all ranks after one more window. A shift falls into the middle
   * of a window. */
  std::vector<std::optional<RankSample>> Sample()
  {
    std::normal_distribution<double> noise(1, kNoise);
    mCounts.resize(kLayers * kExperts);
    for (size_t layer = 0; layer < kLayers; ++layer) {
      const double sum =
        std::accumulate(mLoads[layer].begin(), mLoads[layer].end(), 0.0);
      for (size_t expert = 0; expert < kExperts; ++expert) {
        const double load =
          (mLoads[layer][expert] + mLoadsBefore[layer][expert]) / 2 / sum *
          kSelections;
        mCounts[layer * kExperts + expert] +=
          static_cast<uint64_t>(load * std::max(0.0, noise(mRandom)));
      }
    }
    mLoadsBefore = mLoads;
    std::vector<std::optional<RankSample>> samples(kRanks, RankSample());
    samples[0]->mCounts = mCounts;
    return samples;
  }

private:
  static rebalancing::Loads SkewedLoads()
  {
    rebalancing::Loads loads;
    for (size_t expert = 1; expert <= kExperts; ++expert) {
      loads.push_back(std::pow(static_cast<double>(expert), -kSkew));
    }
    return loads;
  }

  static constexpr double kShiftingShare = 0.45;
  static constexpr double kSkew = 0.65;
  /** Relative noise of an expert's selections in a window. */
  static constexpr double kNoise = 0.06;

  std::mt19937_64 mRandom;
  std::array<rebalancing::Loads, kLayers> mLoads;
  /** Loads before the shift that falls into the current window. */
  std::array<rebalancing::Loads, kLayers> mLoadsBefore;
  std::vector<uint64_t> mCounts;
};

/** Map that assigns the experts in turn. */
ExpertMap
InitialMap()
{
  ExpertMap map(kLayers, std::vector<std::vector<uint32_t>>(kRanks));
  for (auto& layer : map) {
    for (uint32_t expert = 0; expert < kExperts; ++expert) {
      layer[expert % kRanks].push_back(expert);
    }
  }
  return map;
}

double
Imbalance(const ExpertMap& aMap, const SimulatedDemand& aDemand)
{
  double sum = 0;
  for (size_t layer = 0; layer < kLayers; ++layer) {
    const rebalancing::Loads& loads = aDemand.Layer(layer);
    rebalancing::ExpertsByRank lists;
    for (const auto& experts : aMap[layer]) {
      lists.emplace_back(experts.begin(), experts.end());
    }
    sum += rebalancing::MaxRankLoad(lists, loads) * kRanks /
           std::accumulate(loads.begin(), loads.end(), 0.0);
  }
  return sum / kLayers;
}

/** A leader that samples, plans and changes maps in turn. */
class SimulatedLeader
{
public:
  void ObserveWindow(SimulatedDemand& aDemand)
  {
    if (mWindowsToChange > 0) {
      --mWindowsToChange;
      if (mWindowsToChange == 0) {
        mMap = mPlanned;
      }
      return;
    }
    mNow += kWindow;
    mTracker.AddSamples(aDemand.Sample(), mNow);
    if (!mTracker.HasDemand() || mTracker.IsShifting()) {
      return;
    }
    MapPlan plan = PlanMap(Profile(),
                           mMap,
                           mTracker,
                           std::vector<double>(kRanks, 1.0),
                           mTracker.ExpectedStay(mNow));
    if (plan.IsWorthwhile()) {
      mPlanned = std::move(plan.mMap);
      mWindowsToChange = kWindowsPerChange;
    }
  }

  const ExpertMap& Map() const { return mMap; }

private:
  DemandTracker mTracker{ kLayers, kExperts };
  global::TimePoint mNow{};
  ExpertMap mMap = InitialMap();
  ExpertMap mPlanned;
  int mWindowsToChange = 0;
};

}

TEST_GROUP(MapPlanner){};

TEST(MapPlanner, PassesKeepTheTargetGapSoonAfterDemandShifts)
{
  int latePasses = 0;
  for (uint64_t seed = 0; seed < kSeeds; ++seed) {
    SimulatedDemand demand(seed);
    SimulatedLeader leader;
    for (int i = 0; i < kShifts * kWindowsPerShift; ++i) {
      if (i > 0 && i % kWindowsPerShift == 0) {
        demand.Shift();
      }
      leader.ObserveWindow(demand);
      const double pass =
        PassMilliseconds(Profile(), Imbalance(leader.Map(), demand));
      const bool hasFollowed = i % kWindowsPerShift >= kWindowsToFollow;
      latePasses += hasFollowed && pass > kTargetGapMilliseconds ? 1 : 0;
    }
  }
  LONGS_EQUAL(0, latePasses);
}
