#include "steplease/schedule.h"

#include <algorithm>

namespace beryllever::steplease {

Schedule::Schedule(std::vector<Segment> aSegments)
  : mSegments(std::move(aSegments))
{
}

Step
Schedule::Horizon() const
{
  return mSegments.empty() ? 0 : mSegments.back().mEnd;
}

std::optional<MapVersion>
Schedule::MapAt(Step aStep) const
{
  for (const Segment& segment : mSegments) {
    if (aStep >= segment.mFirst && aStep < segment.mEnd) {
      return segment.mMap;
    }
  }
  return std::nullopt;
}

void
Schedule::Append(MapVersion aMap, Step aEnd)
{
  const Step horizon = Horizon();
  if (aEnd <= horizon) {
    return;
  }
  if (!mSegments.empty() && mSegments.back().mMap == aMap) {
    mSegments.back().mEnd = aEnd;
    return;
  }
  mSegments.push_back({ horizon, aEnd, aMap });
}

void
Schedule::TrimBefore(Step aStep)
{
  // The last segment stays, since the horizon is read from it.
  while (mSegments.size() > 1 && mSegments.front().mEnd <= aStep) {
    mSegments.erase(mSegments.begin());
  }
}

bool
Schedule::AgreesWith(const Schedule& aOther) const
{
  for (const Segment& mine : mSegments) {
    for (const Segment& other : aOther.mSegments) {
      const bool isOverlap =
        std::max(mine.mFirst, other.mFirst) < std::min(mine.mEnd, other.mEnd);
      if (isOverlap && mine.mMap != other.mMap) {
        return false;
      }
    }
  }
  return true;
}

bool
Schedule::Extends(const Schedule& aOther) const
{
  return Horizon() >= aOther.Horizon() && AgreesWith(aOther);
}

}
