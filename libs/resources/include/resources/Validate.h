#pragma once

#include <string_view>
#include <vector>

#include "base/Error.h"
#include "resources/ResourceStore.h"
#include "resources/Snapshot.h"

namespace boragepitch::resources {

enum class Writer
{
  Operator,
  Planner, ///< May write Rollout resources.
};

/**
 * Validates a transaction against the resources it applies to. Version mismatches give NotFound or
 * Conflict. The following give Invalid: missing references, resources still in use, two Servings of
 * one model on one endpoint, changed ModelVersions, Rollouts written by operators, and one resource
 * changed twice. Faults that exist without the change are not reported.
 */
std::vector<base::Error> validate(const Snapshot& aBase,
                                  const std::vector<Change>& aChanges,
                                  Writer aWriter = Writer::Operator);

/** The ModelVersion of a model and version; null when absent. */
const Resource* findModelVersion(const Snapshot& aSnapshot,
                                 std::string_view aModel,
                                 std::string_view aVersion);

/** True when the zones and name prefixes of aServing include this model endpoint. */
bool covers(const Snapshot& aSnapshot,
            const Serving& aServing,
            std::string_view aEndpointName,
            const Endpoint& aEndpoint);

/** False when the endpoint's VM or availability zone is out of service or not declared. */
bool isInService(const Snapshot& aSnapshot, const Endpoint& aEndpoint);

} // namespace boragepitch::resources
