#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/Time.h"
#include "control/NodeState.h"
#include "resources/ResourceStore.h"
#include "resources/Snapshot.h"

namespace boragepitch::rollout {

struct PlannerOptions
{
  /** An endpoint that may switch and has not after this time loses its place to others. */
  base::Milliseconds stuckAfter{ 120'000 };
  /**
   * How long an endpoint counts as moving after its permission was withdrawn, since its agent may
   * not have seen the withdrawal. Covers propagation (isolation limit 3 s) and one order.
   */
  base::Milliseconds withdrawGrace{ 10'000 };
};

/**
 * Chooses which endpoints may switch version, so that planned moves leave at least minAvailable
 * percent (rounded up) of the in-service endpoints of every model warm and serving. No I/O. The
 * object remembers when it gave and withdrew permissions; a new lease holder starts with a new one,
 * which gives no permission to serving endpoints during its first withdrawGrace. Not thread-safe.
 */
class Planner
{
public:
  explicit Planner(PlannerOptions aOptions = {});

  /**
   * The Rollout resources to write, to be committed on exactly the revision of aSnapshot, each with
   * the resourceVersion of aSnapshot. Empty when nothing changes, or when a Rollout carries a
   * higher fencing number than aFencing (this planner was replaced).
   */
  std::vector<resources::Change> plan(const resources::Snapshot& aSnapshot,
                                      const control::NodeTable& aNodes,
                                      base::TimePoint aNow,
                                      uint64_t aFencing);

private:
  using Key = std::pair<std::string, std::string>; ///< Serving and endpoint.
  struct Memory
  {
    uint64_t declaredAt = 0; ///< resourceVersion of the Serving that the rest is about.
    bool used = false;       ///< Seen at the target under this permission.
    base::TimePoint allowedAt{};
    base::TimePoint withdrawnAt{};
    bool allowed = false;
    uint32_t timesStuck = 0;
  };
  struct Round;

  PlannerOptions mOptions;
  std::map<Key, Memory> mMemory;
  base::TimePoint mStarted{};
  bool mHasStarted = false;
};

} // namespace boragepitch::rollout
