#pragma once

#include "base/Time.h"

namespace boragepitch::routing {

/**
 * Concurrency limit that rises by one for each limit's worth of successes while it is in use, and
 * falls by a factor on overload, at most once for each reaction time. Not thread-safe.
 */
class AdaptiveLimit
{
public:
  struct Options
  {
    int initial = 64;
    int smallest = 4;
    int largest = 4096;
    double decrease = 0.85; ///< Factor on overload.
    base::Duration reaction = std::chrono::milliseconds(200);
  };

  explicit AdaptiveLimit(Options aOptions);

  int limit() const { return static_cast<int>(mLimit); }
  /** A request was answered while aInFlight were in flight. */
  void onSuccess(int aInFlight);
  /** A request was refused for load or missed its deadline. */
  void onOverload(base::TimePoint aNow);
  /** Raises the limit to at least the fleet's known capacity when that grew. */
  void onCapacity(int aCapacity);

private:
  Options mOptions;
  double mLimit;
  int mCapacity = 0;
  base::TimePoint mLastDecrease;
};

} // namespace boragepitch::routing
