#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "base/Time.h"

namespace boragepitch::serving {

/**
 * Entries of a list that hold although the list lacks them. A list that came back from an older
 * copy lacks what was written since; its writers write it again shortly after. Until then, what was
 * known before is nearer the truth. Not thread-safe.
 */
template<typename Value>
class HeldEntries
{
public:
  using Entries = std::map<std::string, Value>;

  /** Holds the entries known before the restore that the restored list lacks. */
  void hold(const Entries& aKnown, const Entries& aRestored, base::TimePoint aUntil)
  {
    for (const auto& [key, value] : aKnown) {
      if (!aRestored.contains(key)) {
        mEntries.insert_or_assign(key, std::pair(value, aUntil));
      }
    }
  }
  /** The list was changed in this entry: what it says counts. */
  void release(const std::string& aKey) { mEntries.erase(aKey); }
  /** Drops the entries that nobody has written again. Returns true if there were any. */
  bool expire(base::TimePoint aNow)
  {
    return std::erase_if(mEntries,
                         [&](const auto& aEntry) { return aEntry.second.second <= aNow; }) > 0;
  }
  /** The entries of the list and the held ones. */
  Entries with(Entries aListed) const
  {
    for (const auto& [key, held] : mEntries) {
      aListed.emplace(key, held.first);
    }
    return aListed;
  }
  /** Time at which expire() next drops an entry; empty if none is held. */
  std::optional<base::TimePoint> nextExpiry() const
  {
    std::optional<base::TimePoint> next;
    for (const auto& [key, held] : mEntries) {
      next = next ? std::min(*next, held.second) : held.second;
    }
    return next;
  }

private:
  std::map<std::string, std::pair<Value, base::TimePoint>>
    mEntries; ///< With the end of their time.
};

/** The earlier of two times that may be missing. */
inline std::optional<base::TimePoint> earlier(std::optional<base::TimePoint> aFirst,
                                              std::optional<base::TimePoint> aSecond)
{
  return aFirst && aSecond ? std::min(aFirst, aSecond) : std::max(aFirst, aSecond);
}

/** Time after the return of a restored store in which its writers write again what it has lost. */
inline constexpr base::Milliseconds kRewriteTime{ 5000 };

} // namespace boragepitch::serving
