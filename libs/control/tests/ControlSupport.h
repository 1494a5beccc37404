#pragma once

#include <string>

#include "base/Json.h"
#include "control/ConfigStore.h"
#include "control/NodeState.h"

namespace boragepitch::test {

/** Codec for Zone resources only, so that these tests do not depend on resources/Codec.h. */
inline control::ResourceCodec zoneCodec()
{
  control::ResourceCodec codec;
  codec.encode = [](const resources::Resource& aResource) {
    const auto& zone = std::get<resources::Zone>(aResource.spec);
    Json::Value value;
    value["kind"] = aResource.kind;
    value["name"] = aResource.name;
    value["resourceVersion"] = Json::UInt64(aResource.resourceVersion);
    value["spec"]["region"] = zone.region;
    value["spec"]["inService"] = zone.inService;
    return value;
  };
  codec.decode = [](const Json::Value& aValue) -> base::Result<resources::Resource> {
    auto name = base::requireString(aValue, "name");
    auto version = base::requireInt(aValue, "resourceVersion", 0, INT64_MAX);
    if (!name || !version || !aValue["spec"].isObject()) {
      return base::fail(base::ErrorKind::Invalid, "zone", "malformed", "fix it");
    }
    return resources::Resource{ "Zone",
                                *name,
                                uint64_t(*version),
                                resources::Zone{
                                  base::stringOr(aValue["spec"], "region"),
                                  base::boolOr(aValue["spec"], "inService", true) } };
  };
  return codec;
}

inline resources::Resource zone(std::string aName, std::string aRegion, bool aInService = true)
{
  return { "Zone", std::move(aName), 0, resources::Zone{ std::move(aRegion), aInService } };
}

inline control::NodeState node(int aIndex, int aZones = 3)
{
  control::NodeState state;
  state.id = "node-" + std::to_string(aIndex);
  state.incarnation = 1;
  state.sequence = 1;
  state.zone = "zone-" + std::to_string(aIndex % aZones);
  state.region = "region-" + std::to_string(aIndex % aZones);
  state.controlAddress = {
    "10.0." + std::to_string(aIndex / 250) + "." + std::to_string(1 + aIndex % 250), 7001
  };
  return state;
}

} // namespace boragepitch::test
