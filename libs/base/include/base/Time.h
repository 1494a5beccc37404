#pragma once

#include <chrono>

namespace boragepitch::base {

/** Monotonic time. Wall-clock time is never compared between processes. */
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using Milliseconds = std::chrono::milliseconds;

/** Source of the present time for the threads that call the decision logic, which takes the time as
 * an argument. */
class Clock
{
public:
  virtual ~Clock() = default;
  virtual TimePoint now() const = 0;
};

class SteadyClock final : public Clock
{
public:
  TimePoint now() const override { return std::chrono::steady_clock::now(); }
};

/** Clock that tests advance explicitly. */
class ManualClock final : public Clock
{
public:
  TimePoint now() const override { return mNow; }
  void advance(Duration aBy) { mNow += aBy; }

private:
  TimePoint mNow{ std::chrono::hours(1) };
};

/** Whole milliseconds of a duration, rounded down. */
inline long long toMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<Milliseconds>(aDuration).count();
}

} // namespace boragepitch::base
