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
 * The newest configuration that this process knows, and the last entries that led to it. Adopts
 * only higher revisions, so it never reverts. Pure; not thread-safe.
 */
class ConfigMerge
{
public:
  const std::shared_ptr<const resources::Snapshot>& snapshot() const { return mSnapshot; }
  uint64_t revision() const { return mSnapshot->revision(); }

  /** Applies the entries that follow the present revision without a gap; true when any did. */
  bool adopt(const std::vector<LogEntry>& aEntries);
  /** Takes a whole configuration if its revision is higher. */
  bool adopt(std::shared_ptr<const resources::Snapshot> aSnapshot);

  /** Up to aLimit entries after aRevision; empty optional when they are no longer kept. */
  std::optional<std::vector<LogEntry>> entriesAfter(uint64_t aRevision, size_t aLimit) const;

private:
  std::shared_ptr<const resources::Snapshot> mSnapshot =
    std::make_shared<const resources::Snapshot>();
  std::deque<LogEntry> mRecent; ///< Without gaps, ending at the present revision.
};

} // namespace boragepitch::control
