#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

#include "control/ConfigStore.h"
#include "resources/Snapshot.h"

namespace boragepitch::control {

/**
 * The newest configuration known to this process and the latest log entries. Adopts only higher
 * revisions, so it never goes back. No I/O; not thread-safe.
 */
class ConfigMerge
{
public:
  const std::shared_ptr<const resources::Snapshot>& snapshot() const { return mSnapshot; }
  uint64_t revision() const { return mSnapshot->revision(); }

  /** Applies the entries that directly follow the current revision; true if it applied any. */
  bool adopt(const std::vector<LogEntry>& aEntries);
  /** Replaces the whole configuration if aSnapshot has a higher revision; true if it did. */
  bool adopt(std::shared_ptr<const resources::Snapshot> aSnapshot);

  /** Up to aLimit entries after aRevision; nullopt if they are no longer kept. */
  std::optional<std::vector<LogEntry>> entriesAfter(uint64_t aRevision, size_t aLimit) const;

private:
  std::shared_ptr<const resources::Snapshot> mSnapshot =
    std::make_shared<const resources::Snapshot>();
  std::deque<LogEntry> mRecent; ///< Consecutive, ending at the current revision.
};

} // namespace boragepitch::control
