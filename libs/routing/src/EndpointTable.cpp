#include "routing/EndpointTable.h"

#include <algorithm>
#include <set>

namespace boragepitch::routing {

namespace {

using resources::Endpoint;
using resources::EndpointType;
using resources::Serving;
using resources::Snapshot;

const EndpointTable::Candidates kNoCandidates;

template<typename Map>
const EndpointTable::Candidates& candidatesOf(const Map& aMap, std::string_view aName)
{
  auto found = aMap.find(aName);
  return found == aMap.end() ? kNoCandidates : found->second;
}

bool takesWholeRequests(resources::Role aRole)
{
  return aRole == resources::Role::General || aRole == resources::Role::Decode;
}

bool covers(const Serving& aServing, const std::string& aZone, const std::string& aEndpoint)
{
  bool inZone =
    aServing.zones.empty() ||
    std::find(aServing.zones.begin(), aServing.zones.end(), aZone) != aServing.zones.end();
  bool matchesName =
    aServing.endpoints.empty() ||
    std::any_of(aServing.endpoints.begin(),
                aServing.endpoints.end(),
                [&](const std::string& aPrefix) { return aEndpoint.starts_with(aPrefix); });
  return inZone && matchesName;
}

/** Calls aVisit(model, serving) for each declared model and adapter. */
template<typename Visit>
void forEachDeclaredModel(const Snapshot& aConfig, Visit&& aVisit)
{
  aConfig.each<Serving>([&](const resources::Resource&, const Serving& aServing) {
    aVisit(aServing.model, aServing);
    for (const std::string& name : aServing.adapters) {
      if (const auto* adapter = aConfig.spec<resources::ModelVersion>("ModelVersion", name)) {
        aVisit(adapter->model, aServing);
      }
    }
  });
}

std::shared_ptr<EndpointLoad> keptLoad(const std::string& aName, const EndpointTable* aPrevious)
{
  const EndpointInfo* known = aPrevious == nullptr ? nullptr : aPrevious->find(aName);
  return known == nullptr ? std::make_shared<EndpointLoad>() : known->load;
}

EndpointInfo makeEndpointInfo(const control::NodeState& aState, const Endpoint& aEndpoint)
{
  EndpointInfo info;
  info.name = aState.endpoint;
  info.nodeId = aState.id;
  info.zone = aState.zone;
  info.region = aState.region;
  info.dataAddress = aState.dataAddress;
  info.type = aEndpoint.type;
  info.role = aEndpoint.role;
  info.serving = aState.serving;
  info.instance = aState.instance;
  info.cold = aState.cold;
  info.limit = std::max(1, aState.cold ? aEndpoint.coldLimit : aEndpoint.warmLimit);
  return info;
}

bool isAvailable(const control::NodeEntry& aNode)
{
  return aNode.state.kind == control::NodeKind::Agent &&
         aNode.state.phase == control::Phase::Ready && aNode.liveness != control::Liveness::Dead;
}

} // namespace

const control::ServedModel* EndpointInfo::served(std::string_view aModel) const
{
  for (const control::ServedModel& entry : serving) {
    if (entry.model == aModel) {
      return &entry;
    }
  }
  return nullptr;
}

std::string outOfServiceReason(const Snapshot& aConfig,
                               const std::string& aEndpoint,
                               const std::string& aZone)
{
  const auto* endpoint = aConfig.spec<Endpoint>("Endpoint", aEndpoint);
  if (endpoint == nullptr) {
    return "endpoint is not declared";
  }
  const auto* vm = aConfig.spec<resources::Vm>("Vm", endpoint->vm);
  if (vm == nullptr || !vm->inService) {
    return vm == nullptr ? "VM is not declared" : "VM is out of service";
  }
  const auto* zone = aConfig.spec<resources::Zone>("Zone", aZone);
  if (zone == nullptr || !zone->inService) {
    return zone == nullptr ? "zone is not declared" : "zone is out of service";
  }
  // When the VM is declared in another zone than the process runs in, both zones must be in
  // service.
  const auto* declared = aConfig.spec<resources::Zone>("Zone", vm->zone);
  if (vm->zone != aZone && (declared == nullptr || !declared->inService)) {
    return "declared zone of the VM is out of service";
  }
  return {};
}

std::shared_ptr<const EndpointTable> EndpointTable::build(const Snapshot& aConfig,
                                                          const control::NodeTable& aNodes,
                                                          const EndpointTable* aPrevious)
{
  auto table = std::make_shared<EndpointTable>();
  table->mRevision = aConfig.revision();
  std::map<std::string, uint64_t> incarnations;
  for (const auto& [id, node] : aNodes) {
    const control::NodeState& state = node.state;
    if (!isAvailable(node) || !outOfServiceReason(aConfig, state.endpoint, state.zone).empty()) {
      continue;
    }
    // While a process is replaced, two nodes may report the same endpoint; the newer process wins.
    if (table->mEndpoints.contains(state.endpoint) &&
        incarnations[state.endpoint] > state.incarnation) {
      continue;
    }
    incarnations[state.endpoint] = state.incarnation;
    EndpointInfo info =
      makeEndpointInfo(state, *aConfig.spec<Endpoint>("Endpoint", state.endpoint));
    info.load = keptLoad(info.name, aPrevious);
    table->mEndpoints[info.name] = std::move(info);
  }
  forEachDeclaredModel(aConfig, [&](const std::string& aModel, const Serving& aServing) {
    Candidates& candidates = table->mByModel[aModel];
    for (const auto& [name, info] : table->mEndpoints) {
      bool qualifies = info.type == EndpointType::Model && takesWholeRequests(info.role) &&
                       info.served(aModel) != nullptr && covers(aServing, info.zone, name);
      if (qualifies && std::find(candidates.begin(), candidates.end(), &info) == candidates.end()) {
        candidates.push_back(&info);
      }
    }
  });
  for (const auto& [name, info] : table->mEndpoints) {
    if (info.type == EndpointType::Service) {
      table->mByService[aConfig.spec<Endpoint>("Endpoint", name)->service].push_back(&info);
    }
  }
  return table;
}

const EndpointTable::Candidates& EndpointTable::forModel(std::string_view aModel) const
{
  return candidatesOf(mByModel, aModel);
}

const EndpointTable::Candidates& EndpointTable::forService(std::string_view aService) const
{
  return candidatesOf(mByService, aService);
}

bool EndpointTable::isDeclared(std::string_view aModel) const
{
  return mByModel.contains(aModel);
}

const EndpointInfo* EndpointTable::find(std::string_view aName) const
{
  auto found = mEndpoints.find(aName);
  return found == mEndpoints.end() ? nullptr : &found->second;
}

int EndpointTable::totalLimit() const
{
  int total = 0;
  for (const auto& [name, info] : mEndpoints) {
    total += info.limit;
  }
  return total;
}

} // namespace boragepitch::routing
