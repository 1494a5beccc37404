#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/Time.h"
#include "serving/RecentMaximum.h"

namespace boragepitch::serving {

/**
 * How long the requests of each route have recently taken, from their arrival to the whole answer.
 * Holds the routes that had answers in the last minute or so. Not thread-safe.
 */
class RequestDurations
{
public:
  /** Records a request that was answered. */
  void record(std::string_view aRoute, base::Duration aTime, base::TimePoint aNow);
  /** Records a request without an answer, or one in progress, with the time that it has taken so
   * far. It only raises what is expected: how long an answer takes, it does not tell. */
  void recordUnanswered(std::string_view aRoute, base::Duration aTime, base::TimePoint aNow);
  /** Time in which nearly every request of the route ends. Empty if none was answered recently. */
  std::optional<base::Duration> expected(std::string_view aRoute, base::TimePoint aNow) const;
  /** Forgets routes without recent answers. */
  void prune(base::TimePoint aNow);
  size_t routeCount() const { return mRoutes.size(); }

private:
  struct Recorded
  {
    RecentMaximum answered; ///< Of requests that were answered.
    RecentMaximum longest;  ///< Of all requests.
    base::TimePoint answeredAt;
  };
  static bool isRecent(const Recorded& aRecorded, base::TimePoint aNow);

  std::map<std::string, Recorded, std::less<>> mRoutes; ///< By name.
};

} // namespace boragepitch::serving
