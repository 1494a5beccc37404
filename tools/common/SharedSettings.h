#pragma once

#include "control/Auth.h"
#include "control/Fleet.h"
#include "settings/Settings.h"
#include "stores/HttpStores.h"

namespace boragepitch::tools {

/** Adds the sections that bp-entry and bp-agent share: node, platform, fleet, log, keys, limits. */
void addSharedKeys(settings::Schema::Builder& aBuilder);

control::FleetSettings fleetSettings(const settings::Settings& aSettings);

/** Creates the authenticator from [keys] and fleet.signing_key. */
base::Result<std::unique_ptr<control::HmacAuthenticator>> makeAuthenticator(
  const settings::Settings& aSettings);

/** Seed for jitter and random choices. Derived from the node id, so that it differs between nodes.
 */
uint64_t nodeSeed(const settings::Settings& aSettings);

/** Starts logging with log.level and node.id. */
void startLogging(const settings::Settings& aSettings, const std::string& aProgram);

} // namespace boragepitch::tools
