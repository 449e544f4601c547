#pragma once

#include <chrono>

namespace beryllever::global {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/** Source of monotonic time. Decisions take a clock so that tests can drive it.
 */
class IClock
{
public:
  virtual ~IClock() = default;
  virtual TimePoint Now() const = 0;
};

/** Clock of the operating system. */
class SteadyClock : public IClock
{
public:
  TimePoint Now() const override;
};

/** Clock that a caller sets by hand. */
class ManualClock : public IClock
{
public:
  TimePoint Now() const override { return mNow; }
  void Advance(Duration aDuration) { mNow += aDuration; }

private:
  TimePoint mNow{ std::chrono::hours(1) };
};

}
