#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/Time.h"

namespace boragepitch::serving {

/**
 * Delays removals of list entries that may have lapsed only because the list was unavailable. An
 * entry lapses when its owner cannot renew it; a live owner writes it again shortly after the
 * outage. In an outage of the list itself most entries lapse together. When few are missing, only
 * this process had lost its connection, and the missing entries have left, unless the list came
 * back from an older copy. Not thread-safe.
 */
class LapseGuard
{
public:
  /** How entries were found missing. */
  enum class Source
  {
    WholeList, ///< The list was read and lacks them.
    Change,    ///< A change of the list removed them.
  };

  /** @param aGrace time after an outage in which the owners of live entries write them again. */
  explicit LapseGuard(base::Milliseconds aGrace);

  /** The list is available again after an outage; aKnown entries were listed before it. */
  void listRegained(size_t aKnown, base::TimePoint aNow);
  /** The list came back from an older copy, which lacks the entries that were added since: all that
   * are missing may be written again. */
  void listRestored(base::TimePoint aNow);
  /** The entry is listed: its removal is no longer pending. */
  void markListed(const std::string& aId);
  /** Returns those of the missing entries whose removal is delayed, as they may have lapsed in the
   * outage; takeDueRemovals() returns them later unless they are listed again. The caller removes
   * the others at once. */
  std::set<std::string> delayRemovals(const std::set<std::string>& aMissing,
                                      Source aSource,
                                      base::TimePoint aNow);
  /** Takes the entries whose grace has passed without their being listed again. */
  std::vector<std::string> takeDueRemovals(base::TimePoint aNow);
  /** Time at which takeDueRemovals() next returns an entry; empty when no removal is pending. */
  std::optional<base::TimePoint> nextDueTime() const;

private:
  const base::Milliseconds mGrace;
  std::optional<base::TimePoint> mRegainedAt;
  std::optional<base::TimePoint> mRestoredAt;
  size_t mKnown = 0;              ///< Number of entries listed before the outage.
  std::set<std::string> mMissing; ///< Entries found missing since the outage ended.
  /** Entries whose removal is delayed, and until when. */
  std::map<std::string, base::TimePoint> mPendingRemovals;
};

} // namespace boragepitch::serving
