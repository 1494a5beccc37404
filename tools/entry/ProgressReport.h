#pragma once

#include <json/value.h>

#include "control/FleetView.h"

namespace boragepitch::tools {

/**
 * Progress of weight fetches: {"manifests":[...],"vms":[...]}, as described in docs/api.md.
 * Queries the agents that are fetching. An agent that does not answer in time counts as having
 * fetched no bytes.
 */
Json::Value progressReport(const control::FleetView& aFleet);

} // namespace boragepitch::tools
