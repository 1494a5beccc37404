#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/Time.h"

namespace boragepitch::serving {

/**
 * Holds back removals that only mean that the list was away: entries that lapsed meanwhile are
 * written again shortly after its return. An outage of the list lets most entries lapse together;
 * when fewer are missing, only the path of this process was down and they have left.
 * Not thread-safe.
 */
class LapseGuard
{
public:
  /** @param aGrace after the list's return, within which live entries are written again. */
  explicit LapseGuard(base::Milliseconds aGrace);

  /** The list answers again after it did not; aKnown entries were listed before. */
  void regained(size_t aKnown, base::TimePoint aNow);
  void present(const std::string& aId);
  /** Takes entries that are missing from the list. Returns those that may have lapsed with it,
   * which due() names later unless they return; the others are to be removed at once. */
  std::set<std::string> hold(const std::set<std::string>& aMissing, base::TimePoint aNow);
  /** Entries whose time has passed without their return. */
  std::vector<std::string> due(base::TimePoint aNow);
  /** When due() names something next. */
  std::optional<base::TimePoint> nextDue() const;

private:
  const base::Milliseconds mGrace;
  std::optional<base::TimePoint> mRegainedAt;
  size_t mKnown = 0;              ///< Entries that were listed before the outage.
  std::set<std::string> mMissing; ///< Those of them that are missing since its end.
  std::map<std::string, base::TimePoint> mHeld;
};

} // namespace boragepitch::serving
