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
  /** An endpoint that was permitted to switch and has not done so after this time loses its
   * permission, so that others can switch. */
  base::Milliseconds stuckTimeout{ 120'000 };
  /**
   * How long an endpoint still counts as switching after its permission was withdrawn, since its
   * agent may not have seen the withdrawal. Covers propagation (isolation limit 3 s) and one order.
   */
  base::Milliseconds withdrawGrace{ 10'000 };
};

/**
 * Permits endpoints to switch versions so that planned switches leave at least minAvailable percent
 * (rounded up) of the in-service endpoints of every model warm and serving. No I/O. A planner
 * remembers when it granted and withdrew permissions. A new lease holder starts with a new planner,
 * which permits no serving endpoint to switch during its first withdrawGrace. Not thread-safe.
 */
class Planner
{
public:
  explicit Planner(PlannerOptions aOptions = {});

  /**
   * Returns the Rollout changes, with the resourceVersions in aSnapshot; they must be committed on
   * exactly the revision of aSnapshot. Empty if nothing changes, or if a Rollout has a higher
   * fencing number than aFencing, which means that another planner has taken over.
   */
  std::vector<resources::Change> plan(const resources::Snapshot& aSnapshot,
                                      const control::NodeTable& aNodes,
                                      base::TimePoint aNow,
                                      uint64_t aFencing);

private:
  using Key = std::pair<std::string, std::string>; ///< Names of Serving and endpoint.
  struct PermissionState
  {
    uint64_t declaredAt = 0; ///< resourceVersion of the Serving that the state refers to.
    bool used = false;       ///< The endpoint was seen at the target with this permission.
    base::TimePoint allowedAt{};
    base::TimePoint withdrawnAt{};
    bool allowed = false;
    uint32_t timesStuck = 0;
  };
  struct Pass;

  PlannerOptions mOptions;
  std::map<Key, PermissionState> mPermissions;
  base::TimePoint mStartedAt{};
  bool mHasStarted = false;
};

} // namespace boragepitch::rollout
