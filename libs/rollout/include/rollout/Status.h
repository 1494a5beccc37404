#pragma once

#include <string_view>
#include <unordered_map>
#include <vector>

#include "control/NodeState.h"
#include "resources/Conditions.h"
#include "resources/Snapshot.h"

namespace boragepitch::rollout {

/** Finds the node record of each endpoint's agent. Prefers live, then newer records. */
class AgentIndex
{
public:
  /** aNodes must outlive the index. */
  explicit AgentIndex(const control::NodeTable& aNodes);
  /** Null if no agent is known. */
  const control::NodeEntry* find(std::string_view aEndpoint) const;

private:
  std::unordered_map<std::string_view, const control::NodeEntry*> mAgents;
};

/**
 * Derives the conditions of resources from the node records. Serving: Complete, Available. Zone and
 * Vm: InService. Endpoint: Complete, Reachable. ModelVersion: Held, OriginChanged. Rollout:
 * Permitted. docs/operators.md lists types and reasons.
 */
class StatusReader
{
public:
  /** Both must outlive the reader. */
  StatusReader(const resources::Snapshot& aSnapshot, const control::NodeTable& aNodes);
  std::vector<resources::Condition> conditionsOf(const resources::Resource& aResource) const;

private:
  const resources::Snapshot& mSnapshot;
  const control::NodeTable& mNodes;
  AgentIndex mAgents;
};

} // namespace boragepitch::rollout
