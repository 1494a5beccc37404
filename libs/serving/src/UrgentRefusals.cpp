#include "serving/UrgentRefusals.h"

#include <algorithm>

namespace boragepitch::serving {

namespace {

/** Refused callers come back after 120 to 240 ms, and should find room then. */
constexpr base::Milliseconds kRecent{ 500 };

} // namespace

void UrgentRefusals::record(std::string_view aService, int aPriority, base::TimePoint aNow)
{
  auto found = mRefusedAt.find(aService);
  if (found == mRefusedAt.end()) {
    found = mRefusedAt.emplace(std::string(aService), Times()).first;
  }
  found->second.at(static_cast<size_t>(std::clamp(aPriority, 0, kPriorityCount - 1))) = aNow;
}

std::optional<int> UrgentRefusals::moreUrgent(std::string_view aService,
                                              int aPriority,
                                              base::TimePoint aNow) const
{
  auto found = mRefusedAt.find(aService);
  if (found == mRefusedAt.end()) {
    return std::nullopt;
  }
  for (int priority = 0; priority < std::min(aPriority, kPriorityCount); ++priority) {
    const auto& at = found->second.at(static_cast<size_t>(priority));
    if (at && aNow - *at < base::Duration(kRecent)) {
      return priority;
    }
  }
  return std::nullopt;
}

} // namespace boragepitch::serving
