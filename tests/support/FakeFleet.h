#pragma once

#include <atomic>
#include <mutex>

#include "control/FleetView.h"

namespace boragepitch::test {

/** A fleet view that tests set directly. Thread-safe. */
class FakeFleet final : public control::FleetView
{
public:
  std::atomic<bool> fresh{ true };

  std::shared_ptr<const resources::Snapshot> config() const override { return mConfig.load(); }
  std::shared_ptr<const control::NodeTable> nodes() const override { return mNodes.load(); }
  bool mayStartNewWork(base::TimePoint) const override { return fresh; }
  void publish(control::NodeState aSelf) override { setNode(std::move(aSelf)); }

  template<typename Spec>
  void declare(const std::string& aKind, const std::string& aName, Spec aSpec)
  {
    std::lock_guard lock(mMutex);
    auto old = mConfig.load();
    auto all = old->all();
    auto resource = std::make_shared<resources::Resource>();
    resource->kind = aKind;
    resource->name = aName;
    resource->resourceVersion = old->revision() + 1;
    resource->spec = std::move(aSpec);
    all[{ aKind, aName }] = std::move(resource);
    mConfig.store(std::make_shared<const resources::Snapshot>(old->revision() + 1, std::move(all)));
  }

  void setNode(control::NodeState aState, control::Liveness aLiveness = control::Liveness::Alive)
  {
    std::lock_guard lock(mMutex);
    control::NodeTable nodes = *mNodes.load();
    nodes[aState.id] = { aState, aLiveness };
    mNodes.store(std::make_shared<const control::NodeTable>(std::move(nodes)));
  }

  void setSuspects(const std::string& aNode, std::vector<control::Suspect> aSuspects)
  {
    auto nodes = mNodes.load();
    auto found = nodes->find(aNode);
    if (found != nodes->end()) {
      control::NodeState state = found->second.state;
      state.suspects = std::move(aSuspects);
      setNode(std::move(state));
    }
  }

private:
  std::mutex mMutex;
  std::atomic<std::shared_ptr<const resources::Snapshot>> mConfig{
    std::make_shared<const resources::Snapshot>()
  };
  std::atomic<std::shared_ptr<const control::NodeTable>> mNodes{
    std::make_shared<const control::NodeTable>()
  };
};

/** Declares one model endpoint with its VM and zone and adds its node. */
inline control::NodeState addModelEndpoint(FakeFleet& aFleet,
                                           const std::string& aName,
                                           const std::string& aZone,
                                           const control::ServedModel& aServed,
                                           net::Address aData = {},
                                           int aCold = 1,
                                           int aWarm = 8)
{
  aFleet.declare("Zone", aZone, resources::Zone{ .region = aZone });
  aFleet.declare("Vm", "vm-" + aName, resources::Vm{ .zone = aZone });
  resources::Endpoint endpoint;
  endpoint.vm = "vm-" + aName;
  endpoint.coldLimit = aCold;
  endpoint.warmLimit = aWarm;
  aFleet.declare("Endpoint", aName, endpoint);
  control::NodeState state;
  state.id = "node-" + aName;
  state.zone = state.region = aZone;
  state.dataAddress = std::move(aData);
  state.phase = control::Phase::Ready;
  state.endpoint = aName;
  state.serving = { aServed };
  state.instance = "boot-1";
  state.cold = false;
  aFleet.setNode(state);
  return state;
}

} // namespace boragepitch::test
