#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/Time.h"

namespace boragepitch::serving {

/**
 * Holds back removals that only mean that the list was away: entries that lapsed meanwhile are
 * written again shortly after its return. Not thread-safe.
 */
class LapseGuard
{
public:
  /** @param aGrace after the list's return, within which live entries are written again. */
  explicit LapseGuard(base::Milliseconds aGrace);

  /** The list answers again after it did not. */
  void regained(base::TimePoint aNow) { mRegainedAt = aNow; }
  void present(const std::string& aId) { mHeld.erase(aId); }
  /** True when the entry is to be removed at once; otherwise due() names it later. */
  bool gone(const std::string& aId, base::TimePoint aNow);
  /** Entries whose time has passed without their return. */
  std::vector<std::string> due(base::TimePoint aNow);
  /** When due() names something next. */
  std::optional<base::TimePoint> nextDue() const;

private:
  const base::Milliseconds mGrace;
  std::optional<base::TimePoint> mRegainedAt;
  std::map<std::string, base::TimePoint> mHeld;
};

} // namespace boragepitch::serving
