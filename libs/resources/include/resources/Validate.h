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
 * Checks of a transaction against the resources it applies to. Versions: NotFound or Conflict.
 * Across resources (Invalid): missing references, resources still in use, two Servings of one model
 * on one endpoint, changed ModelVersions, Rollouts written by operators, and one resource changed
 * twice. Faults that were there before the change are not reported.
 */
std::vector<base::Error> validate(const Snapshot& aBase,
                                  const std::vector<Change>& aChanges,
                                  Writer aWriter = Writer::Operator);

/** The ModelVersion of a model and version; null when absent. */
const Resource* findModelVersion(const Snapshot& aSnapshot,
                                 std::string_view aModel,
                                 std::string_view aVersion);

/** True when aServing is declared for this model endpoint (zone list and name prefixes). */
bool covers(const Snapshot& aSnapshot,
            const Serving& aServing,
            std::string_view aEndpointName,
            const Endpoint& aEndpoint);

/** False when the endpoint's VM or availability zone is out of service or not declared. */
bool isInService(const Snapshot& aSnapshot, const Endpoint& aEndpoint);

} // namespace boragepitch::resources
