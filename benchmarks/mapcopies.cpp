// Pass time of a lock-step group whose demand for experts shifts while its
// ranks take time to copy experts, beside baselines; and the time of a plan.
#include "rebalancing/tests/shiftingdemand.h"
#include "report.h"

using namespace beryllever;
using namespace beryllever::rebalancing;
using namespace beryllever::rebalancing::tests;

namespace {

constexpr unsigned kSeed = 17;
/** Time after a shift at which a leader knows the new demand. */
constexpr Seconds kDetectionTime{ 0.3 };
constexpr Seconds kChangeTime{ 0.15 };
constexpr double kMinGainPerCopy = 0.03;

Policy
PlanEachLayer(const Group& aGroup)
{
  return [aGroup](const Map& aCurrent,
                  const std::vector<Loads>& aLoads,
                  Seconds) -> std::optional<Map> {
    const LayerPlanner planner(
      { aGroup.mSlots, aGroup.mSpare, kMinGainPerCopy });
    Map next;
    for (size_t layer = 0; layer < aCurrent.size(); ++layer) {
      next.push_back(planner.Improve(aCurrent[layer], aLoads[layer]));
    }
    constexpr double kMinGain = 0.12;
    if (Imbalance(next, aLoads) >
        Imbalance(aCurrent, aLoads) * (1 - kMinGain)) {
      return std::nullopt;
    }
    return next;
  };
}

Policy
PlaceAnew(const Group& aGroup)
{
  return [aGroup](const Map& aCurrent,
                  const std::vector<Loads>& aLoads,
                  Seconds) -> std::optional<Map> {
    Map next;
    for (const Loads& loads : aLoads) {
      next.push_back(
        Placement::Balanced(loads, aGroup.mRanks, aGroup.mSlots).Slots());
    }
    if (next == aCurrent) {
      return std::nullopt;
    }
    return next;
  };
}

void
MeasurePassTimes(const Group& aGroup, Seconds aCopyTime, Seconds aStay)
{
  const auto play =
    [&](const Policy& aPolicy, Seconds aChangeTime, Seconds aDetectionTime) {
      return benchmarks::Rounded(
        MeanPassTime(aGroup,
                     aPolicy,
                     { aCopyTime, aChangeTime, aDetectionTime, aStay },
                     kSeed));
    };
  const auto playLeader = [&](const Policy& aPolicy) {
    return play(aPolicy, kChangeTime, kDetectionTime);
  };
  // Changes maps in no time but that of copies; the oracle also knows each
  // demand as it begins.
  const Policy instant = PlanCopies(aGroup, aCopyTime, Seconds(0));
  benchmarks::Report(
    "map-copies",
    kSeed,
    { { "ranks", aGroup.mRanks },
      { "copySeconds", aCopyTime.count() },
      { "staySeconds", aStay.count() },
      { "eachLayer", playLeader(PlanEachLayer(aGroup)) },
      { "anew", playLeader(PlaceAnew(aGroup)) },
      { "copies", playLeader(PlanCopies(aGroup, aCopyTime, kChangeTime)) },
      { "instantChange", play(instant, Seconds(0), kDetectionTime) },
      { "oracle", play(instant, Seconds(0), Seconds(0)) } });
}

void
MeasurePlanTime(const Group& aGroup)
{
  ShiftingDemand demand(aGroup, kSeed);
  const auto start = std::chrono::steady_clock::now();
  const CopyPlanner planner(
    { aGroup.mSlots, aGroup.mSpare, kMinGainPerCopy },
    { Seconds(0.05), kChangeTime, kCopySlowdown, Seconds(3) });
  const CopyPlan plan = planner.Improve(RoundRobin(aGroup), demand.Layers());
  const std::chrono::duration<double, std::milli> time =
    std::chrono::steady_clock::now() - start;
  benchmarks::Report("map-plan-time",
                     kSeed,
                     { { "ranks", aGroup.mRanks },
                       { "layers", aGroup.mLayers },
                       { "experts", aGroup.mExperts },
                       { "milliseconds", benchmarks::Rounded(time.count()) },
                       { "copies", plan.mCopies } });
}

}

int
main()
{
  const Group small{ 12, 3, 96, 11, 4, 1.3 };
  for (const double copy : { 0.02, 0.1, 0.4, 1.0 }) {
    for (const double stay : { 1.0, 3.0, 10.0 }) {
      MeasurePassTimes(small, Seconds(copy), Seconds(stay));
    }
  }
  const Group middle{ 24, 16, 96, 5, 2, 0.94 };
  for (const double copy : { 0.02, 0.08, 0.4 }) {
    MeasurePassTimes(middle, Seconds(copy), Seconds(3));
  }
  for (const size_t ranks : { 12, 24, 63, 129 }) {
    MeasurePlanTime(
      { ranks, 16, 258, 258 / ranks + 1 + (ranks < 100 ? 1 : 0), 2, 0.45 });
  }
  return 0;
}
