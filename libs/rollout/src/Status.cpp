#include "rollout/Status.h"

#include <algorithm>
#include <map>

#include "Agents.h"
#include "resources/Validate.h"
#include "rollout/DesiredState.h"

namespace boragepitch::rollout {

namespace {

using namespace resources;

std::string countText(uint64_t aDone, uint64_t aTotal)
{
  return std::to_string(aDone) + " of " + std::to_string(aTotal);
}

bool contains(const std::vector<std::string>& aList, const std::string& aText)
{
  return std::find(aList.begin(), aList.end(), aText) != aList.end();
}

/** Why an endpoint does not serve what its Serving declares. The first that applies is used. */
enum class Obstacle
{
  None,
  Unreachable,
  Fetching,
  WaitingForPermission,
  Switching,
};

struct ObstacleText
{
  const char* reason;
  const char* message;
};

ObstacleText textOf(Obstacle aObstacle)
{
  switch (aObstacle) {
    case Obstacle::None:
      return { "Converged", "serves the declared version" };
    case Obstacle::Unreachable:
      return { "EndpointsUnreachable",
               "no live agent reports for some endpoints; check their VMs or take them out of "
               "service" };
    case Obstacle::Fetching:
      return { "FetchingWeights", "weights are still being fetched; see bpctl progress" };
    case Obstacle::WaitingForPermission:
      return { "WaitingForWave",
               "endpoints wait for their wave; if this lasts, lower minAvailable or restore the "
               "endpoints that do not serve" };
    case Obstacle::Switching:
      return { "Switching", "endpoints drain or load the declared version" };
  }
  return { "Unknown", "" };
}

class Evaluator
{
public:
  Evaluator(const Snapshot& aSnapshot,
            const control::NodeTable& aNodes,
            const AgentIndex& aAgents,
            const Resource& aResource)
    : mSnapshot(aSnapshot)
    , mNodes(aNodes)
    , mAgents(aAgents)
    , mResource(aResource)
  {
  }

  std::vector<Condition> operator()(const Serving& aServing) const
  {
    std::map<Obstacle, uint64_t> counts;
    uint64_t total = 0;
    uint64_t available = 0;
    const Target target = targetOf(mSnapshot, mResource, "");
    const auto* rollout = mSnapshot.spec<Rollout>("Rollout", mResource.name);
    mSnapshot.each<Endpoint>([&](const Resource& aEndpoint, const Endpoint& aSpec) {
      if (!covers(mSnapshot, aServing, aEndpoint.name, aSpec) || !isInService(mSnapshot, aSpec)) {
        return;
      }
      ++total;
      const control::NodeEntry* agent = mAgents.find(aEndpoint.name);
      bool isAllowed = rollout != nullptr && contains(rollout->allowed, aEndpoint.name);
      ++counts[isReady(agent) ? obstacleOf(target, agent->state, isAllowed)
                              : Obstacle::Unreachable];
      bool isWarm = isReady(agent) && !agent->state.cold && servedOf(*agent, aServing.model);
      available += isWarm ? 1 : 0;
    });
    return { complete(counts, total), availability(aServing, available, total) };
  }

  std::vector<Condition> operator()(const Zone& aZone) const
  {
    return inService(aZone.inService, [&](const Endpoint& aEndpoint) {
      const Vm* vm = mSnapshot.spec<Vm>("Vm", aEndpoint.vm);
      return vm != nullptr && vm->zone == mResource.name;
    });
  }

  std::vector<Condition> operator()(const Vm& aVm) const
  {
    return inService(aVm.inService,
                     [&](const Endpoint& aEndpoint) { return aEndpoint.vm == mResource.name; });
  }

  std::vector<Condition> operator()(const Endpoint& aEndpoint) const
  {
    const control::NodeEntry* agent = mAgents.find(mResource.name);
    Condition reachable{ "Reachable", isReady(agent), "AgentReady", "its agent is ready", 0, 0 };
    if (!reachable.status) {
      reachable.reason = agent == nullptr ? "NoAgent" : "AgentNotReady";
      reachable.message = agent == nullptr
                            ? "no agent reports for this endpoint; start it, or delete the Endpoint"
                            : "its agent is starting, leaving or suspected dead";
    }
    if (aEndpoint.type == EndpointType::Service) {
      return { reachable };
    }
    Obstacle obstacle = obstacleOf(mResource.name);
    ObstacleText text = textOf(obstacle);
    return { { "Complete", obstacle == Obstacle::None, text.reason, text.message, 0, 0 },
             reachable };
  }

  std::vector<Condition> operator()(const ModelVersion& aModel) const
  {
    uint64_t held = 0;
    uint64_t fetching = 0;
    uint64_t originChanged = 0;
    for (const auto& [id, entry] : mNodes) {
      if (entry.liveness == control::Liveness::Alive) {
        originChanged += contains(entry.state.originChanged, aModel.manifest) ? 1 : 0;
        held += contains(entry.state.held, aModel.manifest) ? 1 : 0;
        fetching += contains(entry.state.fetching, aModel.manifest) ? 1 : 0;
      }
    }
    Condition condition{ "Held", held > 0 && fetching == 0, "Held", "", held, held + fetching };
    condition.reason = fetching > 0 ? "FetchingWeights" : held > 0 ? "Held" : "NotWanted";
    condition.message = countText(held, held + fetching) + " VMs that want it hold it";
    Condition origin{ "OriginChanged", originChanged > 0, "BytesMatch", "", originChanged, 0 };
    if (origin.status) {
      origin.reason = "BytesDiffer";
      origin.message = "the weight store's bytes differ from the manifest; restore the blob or "
                       "declare a new version with its own manifest";
    }
    return { condition, origin };
  }

  std::vector<Condition> operator()(const Rollout& aRollout) const
  {
    return { { "Permitted",
               !aRollout.allowed.empty(),
               aRollout.allowed.empty() ? "NoneYet" : "Permitted",
               "endpoints that may serve or switch to this version",
               aRollout.allowed.size(),
               0 } };
  }

  template<typename Other>
  std::vector<Condition> operator()(const Other&) const
  {
    return {};
  }

private:
  Obstacle obstacleOf(const std::string& aEndpoint) const
  {
    const control::NodeEntry* agent = mAgents.find(aEndpoint);
    if (!isReady(agent)) {
      return Obstacle::Unreachable;
    }
    Obstacle worst = Obstacle::None;
    for (const Target& target : desiredState(mSnapshot, aEndpoint).targets) {
      worst = std::max(worst, obstacleOf(target, agent->state, target.allowed));
    }
    return worst;
  }

  static Obstacle obstacleOf(const Target& aTarget,
                             const control::NodeState& aState,
                             bool aIsAllowed)
  {
    std::vector<control::ServedModel> wanted{ aTarget.wanted };
    wanted.insert(wanted.end(), aTarget.adapters.begin(), aTarget.adapters.end());
    auto serves = [&](const control::ServedModel& aOne) {
      return std::find(aState.serving.begin(), aState.serving.end(), aOne) != aState.serving.end();
    };
    if (std::all_of(wanted.begin(), wanted.end(), serves)) {
      return Obstacle::None;
    }
    auto holds = [&](const control::ServedModel& aOne) {
      return contains(aState.held, aOne.manifest);
    };
    if (!std::all_of(wanted.begin(), wanted.end(), holds)) {
      return Obstacle::Fetching;
    }
    return aIsAllowed ? Obstacle::Switching : Obstacle::WaitingForPermission;
  }

  static Condition complete(const std::map<Obstacle, uint64_t>& aCounts, uint64_t aTotal)
  {
    auto converged = aCounts.find(Obstacle::None);
    uint64_t done = converged == aCounts.end() ? 0 : converged->second;
    Condition condition{ "Complete", aTotal > 0 && done == aTotal, "Converged", "", done, aTotal };
    condition.message =
      countText(done, aTotal) + " in-service endpoints serve the declared version";
    if (aTotal == 0) {
      condition.reason = "NoEndpoints";
      condition.message =
        "no in-service model endpoint matches zones and endpoints of this Serving";
      return condition;
    }
    uint64_t largest = 0;
    ObstacleText text{};
    for (const auto& [obstacle, count] : aCounts) {
      if (obstacle != Obstacle::None && count > largest) {
        largest = count;
        text = textOf(obstacle);
      }
    }
    if (largest > 0) {
      condition.reason = text.reason;
      condition.message += "; " + std::to_string(largest) + ": " + text.message;
    }
    return condition;
  }

  static Condition availability(const Serving& aServing, uint64_t aAvailable, uint64_t aTotal)
  {
    constexpr uint64_t kPercent = 100;
    uint64_t required =
      (aTotal * static_cast<uint64_t>(aServing.minAvailable) + kPercent - 1) / kPercent;
    Condition condition{
      "Available", aAvailable >= required, "EnoughWarm", "", aAvailable, aTotal
    };
    condition.message = countText(aAvailable, aTotal) +
                        " are warm and serving; required: " + std::to_string(required);
    if (!condition.status) {
      condition.reason = "TooFewWarm";
      condition.message += "; serving endpoints are not moved until more are warm";
    } else if (aTotal > 0 && required == aTotal) {
      condition.reason = "NoRoomToMove";
      condition.message += "; minAvailable lets no serving endpoint switch, lower it for updates";
    }
    return condition;
  }

  template<typename IsInside>
  std::vector<Condition> inService(bool aDeclared, IsInside&& aIsInside) const
  {
    uint64_t total = 0;
    uint64_t ready = 0;
    mSnapshot.each<Endpoint>([&](const Resource& aResource, const Endpoint& aEndpoint) {
      if (aIsInside(aEndpoint)) {
        ++total;
        ready += isReady(mAgents.find(aResource.name)) ? 1 : 0;
      }
    });
    Condition condition{ "InService", aDeclared, aDeclared ? "Declared" : "Cordoned",
                         "",          ready,     total };
    condition.message = countText(ready, total) + " endpoints have a ready agent";
    condition.message += aDeclared ? "" : "; no new work is sent to them";
    return { condition };
  }

  const Snapshot& mSnapshot;
  const control::NodeTable& mNodes;
  const AgentIndex& mAgents;
  const Resource& mResource;
};

} // namespace

AgentIndex::AgentIndex(const control::NodeTable& aNodes)
{
  auto rank = [](const control::NodeEntry& aEntry) {
    return std::pair(-static_cast<int>(aEntry.liveness), aEntry.state.incarnation);
  };
  for (const auto& [id, entry] : aNodes) {
    if (entry.state.kind != control::NodeKind::Agent) {
      continue;
    }
    auto [known, isNew] = mAgents.try_emplace(entry.state.endpoint, &entry);
    if (!isNew && rank(entry) > rank(*known->second)) {
      known->second = &entry;
    }
  }
}

const control::NodeEntry* AgentIndex::find(std::string_view aEndpoint) const
{
  auto found = mAgents.find(aEndpoint);
  return found == mAgents.end() ? nullptr : found->second;
}

StatusReader::StatusReader(const Snapshot& aSnapshot, const control::NodeTable& aNodes)
  : mSnapshot(aSnapshot)
  , mNodes(aNodes)
  , mAgents(aNodes)
{
}

std::vector<Condition> StatusReader::conditionsOf(const Resource& aResource) const
{
  return std::visit(Evaluator(mSnapshot, mNodes, mAgents, aResource), aResource.spec);
}

} // namespace boragepitch::rollout
