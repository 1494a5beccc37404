#include "serving/ServiceClock.h"

namespace boragepitch::serving {

namespace {
/** Differences up to this come from the varying time that answers are in transit. */
constexpr base::Milliseconds kTransitJitter{ 20 };
} // namespace

void ServiceClock::observe(base::Milliseconds aServiceTime, base::TimePoint aNow)
{
  mLead.observe(base::Duration(aServiceTime) - aNow.time_since_epoch(), aNow);
}

base::TimePoint ServiceClock::givenAt(base::Milliseconds aServiceTime, base::TimePoint aNow) const
{
  auto lead = mLead.value();
  if (!lead) {
    return aNow;
  }
  base::TimePoint given(base::Duration(aServiceTime) - *lead);
  return aNow - given > base::Duration(kTransitJitter) ? given : aNow;
}

} // namespace boragepitch::serving
