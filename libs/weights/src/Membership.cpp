#include "Membership.h"

#include <algorithm>

namespace boragepitch::weights {

namespace {

bool contains(const std::vector<std::string>& aList, const std::string& aValue)
{
  return std::find(aList.begin(), aList.end(), aValue) != aList.end();
}

bool serves(const control::NodeEntry& aNode)
{
  return aNode.state.kind == control::NodeKind::Agent &&
         aNode.liveness != control::Liveness::Dead &&
         aNode.state.phase != control::Phase::Leaving && aNode.state.weightsAddress.port != 0;
}

bool publishes(const control::NodeState& aState, const std::string& aId)
{
  return contains(aState.held, aId) || contains(aState.fetching, aId);
}

bool isTarget(const control::NodeState& aState, const TransferRequest& aWanted)
{
  bool zoneMatches = aWanted.zones.empty() || contains(aWanted.zones, aState.zone);
  bool endpointMatches =
    aWanted.endpoints.empty() ||
    std::any_of(aWanted.endpoints.begin(), aWanted.endpoints.end(), [&](const std::string& aName) {
      return aState.endpoint.starts_with(aName);
    });
  return zoneMatches && endpointMatches;
}

} // namespace

Members membersFor(const control::NodeTable& aNodes,
                   const TransferRequest& aWanted,
                   const std::string& aSelf,
                   const std::string& aRegion)
{
  Members members;
  members[aRegion].push_back(aSelf);
  const std::string id = aWanted.manifest.toString();
  for (const auto& [name, node] : aNodes) {
    if (name != aSelf && serves(node) &&
        (isTarget(node.state, aWanted) || publishes(node.state, id))) {
      members[node.state.region].push_back(name);
    }
  }
  for (auto& [region, ids] : members) {
    std::sort(ids.begin(), ids.end());
  }
  return members;
}

std::vector<std::string> holdersOf(const control::NodeTable& aNodes,
                                   const ManifestId& aId,
                                   const std::string& aSelf)
{
  std::vector<std::string> ids;
  const std::string id = aId.toString();
  for (const auto& [name, node] : aNodes) {
    if (name != aSelf && serves(node) && node.liveness == control::Liveness::Alive &&
        publishes(node.state, id)) {
      ids.push_back(name);
    }
  }
  return ids;
}

size_t agentsIn(const control::NodeTable& aNodes, const std::string& aRegion)
{
  return static_cast<size_t>(std::count_if(aNodes.begin(), aNodes.end(), [&](const auto& aNode) {
    return serves(aNode.second) && aNode.second.state.region == aRegion;
  }));
}

} // namespace boragepitch::weights
