#pragma once

#include "base/Time.h"
#include "serving/RecentMaximum.h"

namespace boragepitch::serving {

/**
 * Relates the clock of a service, as named in its answers, to the local one. An answer that was
 * held up on its way, or that a suspended or busy process read late, is as old as the quickest of
 * the recent answers shows. Not thread-safe.
 */
class ServiceClock
{
public:
  /** @param aServiceTime the service's clock in an answer that was read at aNow. */
  void observe(base::Milliseconds aServiceTime, base::TimePoint aNow);
  /** Local time at which the service gave the answer, as far as known; at most aNow. */
  base::TimePoint givenAt(base::Milliseconds aServiceTime, base::TimePoint aNow) const;

private:
  /** The service's clock less the local one. The clocks may drift apart, so older answers do not
   * count. */
  RecentMaximum mLead{ std::chrono::seconds(30) };
};

} // namespace boragepitch::serving
