#pragma once

#include <vector>

#include "control/NodeState.h"
#include "resources/Conditions.h"
#include "resources/Snapshot.h"

namespace boragepitch::rollout {

/**
 * Conditions of one resource, from what the nodes report. Serving: Complete, Available. Zone and
 * Vm: Empty (no endpoint serves there) or InService. Endpoint: Complete, Reachable. ModelVersion:
 * Held. docs/operators.md lists types and reasons.
 */
std::vector<resources::Condition> conditionsOf(const resources::Snapshot& aSnapshot,
                                               const control::NodeTable& aNodes,
                                               const resources::Resource& aResource);

/** The record of the agent beside an endpoint; null when unknown. Prefers live and newer ones. */
const control::NodeEntry* agentOf(const control::NodeTable& aNodes, const std::string& aEndpoint);

} // namespace boragepitch::rollout
