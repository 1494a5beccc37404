#pragma once

#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/Time.h"
#include "serving/Deployment.h"

namespace boragepitch::serving {

/**
 * Remembers when requests of each priority last found no room at the endpoints of a service. While
 * that is recent, less urgent requests leave room for them. No I/O; not thread-safe.
 */
class UrgentRefusals
{
public:
  /** Records that a request found no room. */
  void record(std::string_view aService, int aPriority, base::TimePoint aNow);
  /** The most urgent of the priorities above this one of which a request found no room recently. */
  std::optional<int> moreUrgent(std::string_view aService,
                                int aPriority,
                                base::TimePoint aNow) const;

private:
  using Times = std::array<std::optional<base::TimePoint>, kPriorityCount>;

  std::map<std::string, Times, std::less<>> mRefusedAt; ///< By service.
};

} // namespace boragepitch::serving
