#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace beryllever::steplease {

using Step = uint64_t;
using MapVersion = uint64_t;

/** Steps that run on one expert map, without the end step. */
struct Segment
{
  Step mFirst = 0;
  Step mEnd = 0;
  MapVersion mMap = 0;

  // Version 14 of the linter takes the defaulted comparison for a literal zero.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Segment&) const = default;
};

/** Which expert map each step uses, up to a horizon. Steps long past may be
 * missing. */
class Schedule
{
public:
  Schedule() = default;
  explicit Schedule(std::vector<Segment> aSegments);

  /** The first step that has no map yet. */
  Step Horizon() const;
  std::optional<MapVersion> MapAt(Step aStep) const;
  /** Gives the steps from the horizon to an end step a map. */
  void Append(MapVersion aMap, Step aEnd);
  /** Forgets steps before this one. */
  void TrimBefore(Step aStep);

  /** Whether no step has different maps in the two schedules. */
  bool AgreesWith(const Schedule& aOther) const;
  /** Whether this reaches as far as the other one and agrees with it. */
  bool Extends(const Schedule& aOther) const;

  const std::vector<Segment>& Segments() const { return mSegments; }
  // Version 14 of the linter takes the defaulted comparison for a literal zero.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Schedule&) const = default;

private:
  std::vector<Segment> mSegments;
};

}
