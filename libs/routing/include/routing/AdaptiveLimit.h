#pragma once

#include "base/Time.h"

namespace boragepitch::routing {

/**
 * Concurrency limit with additive increase and multiplicative decrease: it rises by one after as
 * many successes as the limit while at least half of it is in use, and is multiplied by a factor on
 * overload, at most once per decrease interval. Not thread-safe.
 */
class AdaptiveLimit
{
public:
  struct Options
  {
    int initial = 64;
    int minimum = 4;
    int maximum = 4096;
    double decreaseFactor = 0.85; ///< Factor applied on overload.
    /** Shortest time between two decreases. */
    base::Duration decreaseInterval = std::chrono::milliseconds(200);
  };

  explicit AdaptiveLimit(Options aOptions);

  int limit() const { return static_cast<int>(mLimit); }
  /** Records a successful request; aInFlight requests were in flight. */
  void onSuccess(int aInFlight);
  /** Records a request that was refused because of load or missed its deadline. */
  void onOverload(base::TimePoint aNow);
  /** Records the fleet's capacity. When it grew, raises the limit to at least that capacity. */
  void updateCapacity(int aCapacity);

private:
  Options mOptions;
  double mLimit;
  int mCapacity = 0;
  base::TimePoint mLastDecrease;
};

} // namespace boragepitch::routing
