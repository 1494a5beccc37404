#pragma once

#include "base/Time.h"

namespace boragepitch::routing {

/**
 * Concurrency limit with additive increase and multiplicative decrease: it rises by one after as
 * many successes as the limit while at least half of it is in use, and is multiplied by a factor on
 * overload, at most once per reaction time. Not thread-safe.
 */
class AdaptiveLimit
{
public:
  struct Options
  {
    int initial = 64;
    int smallest = 4;
    int largest = 4096;
    double decrease = 0.85; ///< Factor applied on overload.
    /** Shortest time between two decreases. */
    base::Duration reaction = std::chrono::milliseconds(200);
  };

  explicit AdaptiveLimit(Options aOptions);

  int limit() const { return static_cast<int>(mLimit); }
  /** Records a successful request; aInFlight requests were in flight. */
  void onSuccess(int aInFlight);
  /** Records a request that was refused because of load or missed its deadline. */
  void onOverload(base::TimePoint aNow);
  /** Records the fleet's capacity. When it grew, raises the limit to at least that capacity. */
  void onCapacity(int aCapacity);

private:
  Options mOptions;
  double mLimit;
  int mCapacity = 0;
  base::TimePoint mLastDecrease;
};

} // namespace boragepitch::routing
