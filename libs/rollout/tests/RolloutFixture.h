#pragma once

#include <string>
#include <vector>

#include "control/NodeState.h"
#include "resources/Codec.h"
#include "resources/ResourceStore.h"

namespace boragepitch::test {

/** Declarations and node records of a fleet, modified by the tests step by step. */
class Fleet
{
public:
  resources::Snapshot snapshot;
  control::NodeTable nodes;

  void put(const std::string& aName, resources::Spec aSpec)
  {
    resources::Resource resource{
      std::string(resources::kindOf(aSpec)), aName, 0, std::move(aSpec)
    };
    commit({ { resources::ChangeType::Replace, std::move(resource) } });
  }

  void commit(const std::vector<resources::Change>& aChanges)
  {
    if (!aChanges.empty()) {
      snapshot = resources::applyChanges(snapshot, aChanges, snapshot.revision() + 1);
    }
  }

  static std::string manifestOf(const std::string& aVersion)
  {
    return std::string(63, '0') + aVersion.back();
  }

  static control::ServedModel served(const std::string& aVersion, const std::string& aModel = "m")
  {
    return { aModel, aVersion, manifestOf(aVersion) };
  }

  void addVersion(const std::string& aVersion, const std::string& aModel = "m")
  {
    put(aModel + "-" + aVersion,
        resources::ModelVersion{ aModel, aVersion, manifestOf(aVersion), 1000, "m/" + aVersion });
  }

  void addEndpoint(const std::string& aName, const std::string& aZone)
  {
    put(aZone, resources::Zone{ "region" });
    put("vm-" + aName, resources::Vm{ aZone });
    put(aName, resources::Endpoint{ .vm = "vm-" + aName });
    control::NodeState state;
    state.id = "agent-" + aName;
    state.endpoint = aName;
    state.phase = control::Phase::Ready;
    nodes[state.id] = { state, control::Liveness::Alive };
  }

  /** Declares the version of a model that all endpoints should serve. */
  void declare(const std::string& aVersion, int aMinAvailable, const std::string& aModel = "m")
  {
    resources::Serving serving;
    serving.model = aModel;
    serving.version = aVersion;
    serving.minAvailable = aMinAvailable;
    put(aModel, serving);
  }

  control::NodeEntry& node(const std::string& aEndpoint) { return nodes.at("agent-" + aEndpoint); }

  /** Makes the endpoint report that it stores this version and serves it warm. */
  void serve(const std::string& aEndpoint,
             const std::string& aVersion,
             const std::string& aModel = "m")
  {
    control::NodeState& state = node(aEndpoint).state;
    std::erase_if(state.serving, [&](const auto& aOne) { return aOne.model == aModel; });
    state.serving.push_back(served(aVersion, aModel));
    state.cold = false;
    hold(aEndpoint, aVersion);
  }

  void hold(const std::string& aEndpoint, const std::string& aVersion)
  {
    node(aEndpoint).state.held.push_back(manifestOf(aVersion));
  }

  std::vector<std::string> allowed(const std::string& aServing = "m") const
  {
    const auto* rollout = snapshot.spec<resources::Rollout>("Rollout", aServing);
    return rollout == nullptr ? std::vector<std::string>{} : rollout->allowed;
  }
};

} // namespace boragepitch::test
