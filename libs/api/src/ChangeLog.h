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
 * Bounded log of the changes that this process has seen. A step may span several revisions; a watch
 * can start only at step boundaries, since a step does not record a resource that was created and
 * removed within it. Thread-safe.
 */
class ChangeLog
{
public:
  ChangeLog(std::shared_ptr<const resources::Snapshot> aInitial, size_t aMaxDifferences);

  /** Appends the step from the latest snapshot to aNewer; ignores snapshots that are not newer. */
  void append(std::shared_ptr<const resources::Snapshot> aNewer);
  /** True when a watch can start after aRevision: it is a step boundary, or not reached yet. */
  bool canStartAfter(uint64_t aRevision) const;
  /**
   * The step that starts at aRevision, waiting up to aTimeout for it. Empty when there is none yet;
   * aLost tells whether aRevision is no longer a step boundary.
   */
  std::optional<Step> next(uint64_t aRevision, base::Milliseconds aTimeout, bool& aLost) const;
  /** Wakes all waiting readers. */
  void stop();
  bool isStopped() const;

private:
  bool isBoundary(uint64_t aRevision) const;
  const Step* find(uint64_t aRevision) const;

  const size_t mMaxDifferences;
  mutable std::mutex mMutex;
  mutable std::condition_variable mChanged;
  std::shared_ptr<const resources::Snapshot> mLatest;
  std::deque<Step> mSteps;
  size_t mDifferenceCount = 0;
  bool mStopped = false;
};

} // namespace boragepitch::api
