#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <json/value.h>

namespace boragepitch::resources {

/**
 * One statement about the state of a resource: whether it matches its declaration, and why not.
 * Conditions are computed in rollout/Status.h, since that needs node records.
 */
struct Condition
{
  std::string type;    ///< "Complete", "Available", "Reachable", "OriginChanged", ...
  bool status = false; ///< True when the statement in type holds.
  std::string reason;  ///< Stable one-word code for programs.
  std::string message; ///< For people; says what to do when something is wrong.
  uint64_t done = 0;   ///< Endpoints (or VMs) for which the statement holds.
  uint64_t total = 0;  ///< Endpoints (or VMs) concerned; 0 when it is not counted.
};

/** {"conditions":[{"type","status","reason","message","done","total"}]}. */
Json::Value statusToJson(const std::vector<Condition>& aConditions);

} // namespace boragepitch::resources
