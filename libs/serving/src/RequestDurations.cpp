#include "serving/RequestDurations.h"

#include <algorithm>

namespace boragepitch::serving {

namespace {
using namespace std::chrono_literals;

/** The longest request of one to two intervals counts: long enough for tens of requests on a quiet
 * route, short enough to follow a change of load. */
constexpr base::Milliseconds kInterval = 30000ms;
/** Factor on the longest request: a later one may take longer still. */
constexpr double kMargin = 1.25;
} // namespace

bool RequestDurations::isRecent(const Recorded& aRecorded, base::TimePoint aNow)
{
  return aNow - aRecorded.answeredAt <= 2 * base::Duration(kInterval);
}

void RequestDurations::record(std::string_view aRoute, base::Duration aTime, base::TimePoint aNow)
{
  auto found = mRoutes.find(aRoute);
  if (found == mRoutes.end()) {
    RecentMaximum nothing{ base::Duration(kInterval) };
    Recorded recorded{ nothing, nothing, aNow };
    found = mRoutes.emplace(std::string(aRoute), recorded).first;
  }
  found->second.answered.observe(aTime, aNow);
  found->second.longest.observe(aTime, aNow);
  found->second.answeredAt = aNow;
}

void RequestDurations::recordUnanswered(std::string_view aRoute,
                                        base::Duration aTime,
                                        base::TimePoint aNow)
{
  auto found = mRoutes.find(aRoute);
  if (found != mRoutes.end()) {
    found->second.longest.observe(aTime, aNow);
  }
}

std::optional<base::Duration> RequestDurations::expected(std::string_view aRoute,
                                                         base::TimePoint aNow) const
{
  auto found = mRoutes.find(aRoute);
  if (found == mRoutes.end() || !isRecent(found->second, aNow)) {
    return std::nullopt;
  }
  auto longest = std::max(*found->second.answered.value(), *found->second.longest.value());
  return std::chrono::duration_cast<base::Duration>(kMargin * longest);
}

void RequestDurations::prune(base::TimePoint aNow)
{
  std::erase_if(mRoutes, [&](const auto& aRoute) { return !isRecent(aRoute.second, aNow); });
}

} // namespace boragepitch::serving
