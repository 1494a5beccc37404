#pragma once

#include <json/value.h>

#include "control/FleetView.h"

namespace boragepitch::tools {

/**
 * How far weights have been fetched: {"manifests":[...],"vms":[...]} as docs/api.md describes it.
 * Asks the agents that are fetching for their bytes; an agent that does not answer in time counts
 * with no bytes.
 */
Json::Value progressReport(const control::FleetView& aFleet);

} // namespace boragepitch::tools
