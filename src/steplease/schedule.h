#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace beryllever::steplease {

using Step = uint64_t;
using MapVersion = uint64_t;

/** Range of steps that use one expert map; the end is exclusive. */
struct Segment
{
  Step mFirst = 0;
  Step mEnd = 0;
  MapVersion mMap = 0;

  // clang-tidy 14 mistakes the defaulted comparison for a literal zero.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Segment&) const = default;
};

/** The expert map of each step up to a horizon. Past steps may have been
 * trimmed. */
class Schedule
{
public:
  Schedule() = default;
  explicit Schedule(std::vector<Segment> aSegments);

  /** The first step that has no map yet. */
  Step Horizon() const;
  std::optional<MapVersion> MapAt(Step aStep) const;
  /** Assigns a map to the steps from the horizon up to aEnd, exclusive. */
  void Append(MapVersion aMap, Step aEnd);
  /** Discards segments that end at or before a step. */
  void TrimBefore(Step aStep);

  /** Whether no step has different maps in both schedules. */
  bool AgreesWith(const Schedule& aOther) const;
  /** Whether the horizon is not below that of the other one, and both agree. */
  bool Extends(const Schedule& aOther) const;

  const std::vector<Segment>& Segments() const { return mSegments; }
  // clang-tidy 14 mistakes the defaulted comparison for a literal zero.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Schedule&) const = default;

private:
  std::vector<Segment> mSegments;
};

}
