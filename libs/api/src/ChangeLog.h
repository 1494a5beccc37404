#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "base/Time.h"
#include "resources/Diff.h"
#include "resources/Snapshot.h"

namespace boragepitch::api {

/** The differences between two successive snapshots that this process has seen. */
struct Step
{
  uint64_t from = 0; ///< Revision before.
  uint64_t to = 0;   ///< Revision after.
  std::vector<resources::Difference> differences;
};

/**
 * Bounded log of the snapshots that this process has seen. A process may see several revisions as
 * one step; a watch can begin only at the borders of steps, since a resource that was created and
 * removed within a step leaves no trace in it. Thread-safe.
 */
class ChangeLog
{
public:
  ChangeLog(std::shared_ptr<const resources::Snapshot> aFirst, size_t aMaxDifferences);

  /** Appends the step to a newer snapshot; ignores others. */
  void append(std::shared_ptr<const resources::Snapshot> aNewer);
  /** True when a watch can begin after aRevision: it is a border, or not reached yet. */
  bool canStartAfter(uint64_t aRevision) const;
  /**
   * The first step that begins at aRevision, waiting up to aTimeout for it. Empty when there is
   * none yet; `lost` is set when aRevision is no border any more.
   */
  std::optional<Step> next(uint64_t aRevision, base::Milliseconds aTimeout, bool& aLost) const;
  /** Wakes all waiting readers. */
  void stop();
  bool isStopped() const;

private:
  bool isBorder(uint64_t aRevision) const;
  const Step* find(uint64_t aRevision) const;

  const size_t mMaxDifferences;
  mutable std::mutex mMutex;
  mutable std::condition_variable mChanged;
  std::shared_ptr<const resources::Snapshot> mLatest;
  std::deque<Step> mSteps;
  size_t mDifferences = 0;
  bool mStopped = false;
};

} // namespace boragepitch::api
