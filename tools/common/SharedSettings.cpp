#include "SharedSettings.h"

#include "ServerLimits.h"
#include "base/Digest.h"
#include "telemetry/Log.h"

namespace boragepitch::tools {

void addSharedKeys(settings::Schema::Builder& aBuilder)
{
  aBuilder.text("node.id", "Name of this process, unique in the fleet.")
    .text("node.zone", "Availability zone of this VM; a Zone resource of that name.")
    .text("node.region", "Region of this VM.")
    .address("node.control", "Address of the control port: RPC, metrics, dump, health.")
    .address("platform.table", "Address of the table service.")
    .address("platform.objects", "Address of the object store and the weight store.")
    .address("platform.vms", "Address of the VM list.")
    .text("platform.origin_region", "Region in which the weight store is.", "")
    .addresses("fleet.seeds", "Control addresses of processes to contact first.")
    .integer("fleet.control_port", "Control port of VMs found in the VM list.", "", 1, 65535, 7001)
    .integer("fleet.fanout", "Peers to which news is pushed at once.", "processes", 1, 16, 4)
    .choice("fleet.gossip",
            "off: the configuration spreads by polling alone, as a baseline for measurements.",
            { "on", "off" },
            "on")
    .duration("fleet.gossip_interval", "Between two gossip exchanges.", 50, 60000, 1000)
    .duration("fleet.suspicion_timeout", "From suspect to dead.", 100, 60000, 3000)
    .duration("fleet.isolation_limit",
              "Without evidence of contact for this long, no new work is started.",
              500,
              60000,
              3000)
    .duration(
      "fleet.pause_limit", "A longer gap between two ticks counts as a pause.", 200, 60000, 2000)
    .number(
      "fleet.poll_budget", "Reads of the revision by the whole fleet.", "per second", 0.1, 1000, 40)
    .duration("fleet.vm_list_interval",
              "Shortest mean time between two reads of the VM list.",
              200,
              600000,
              10000)
    .text("fleet.signing_key", "Id in [keys] of the key that signs messages.")
    .freeSection(
      "keys", "Shared secrets by key id; all are accepted, so that keys can be rotated.", 16)
    .choice(
      "log.level", "Least level that is logged.", { "debug", "info", "warn", "error" }, "info");
  addServerLimits(aBuilder);
}

control::FleetSettings fleetSettings(const settings::Settings& aSettings)
{
  control::FleetSettings fleet;
  fleet.fanout = static_cast<size_t>(aSettings.integer("fleet.fanout"));
  fleet.gossipConfig = aSettings.text("fleet.gossip") == "on";
  fleet.gossipInterval = aSettings.duration("fleet.gossip_interval");
  fleet.suspicionTimeout = aSettings.duration("fleet.suspicion_timeout");
  fleet.isolationLimit = aSettings.duration("fleet.isolation_limit");
  fleet.pauseLimit = aSettings.duration("fleet.pause_limit");
  fleet.pollBudget = aSettings.number("fleet.poll_budget");
  fleet.vmListInterval = aSettings.duration("fleet.vm_list_interval");
  fleet.controlPort = static_cast<int>(aSettings.integer("fleet.control_port"));
  return fleet;
}

base::Result<std::unique_ptr<control::HmacAuthenticator>> makeAuthenticator(
  const settings::Settings& aSettings)
{
  control::HmacAuthenticator::Builder builder;
  for (const auto& [id, secret] : aSettings.section("keys")) {
    builder.key(id, secret);
  }
  return builder.signingKey(aSettings.text("fleet.signing_key"))
    .sender(aSettings.text("node.id"))
    .build();
}

uint64_t nodeSeed(const settings::Settings& aSettings)
{
  return base::fastHash(base::asBytes(aSettings.text("node.id")));
}

void startLogging(const settings::Settings& aSettings, const std::string& aProgram)
{
  const std::string& name = aSettings.text("log.level");
  auto level = telemetry::Level::Info;
  if (name == "debug") {
    level = telemetry::Level::Debug;
  } else if (name == "warn") {
    level = telemetry::Level::Warn;
  } else if (name == "error") {
    level = telemetry::Level::Error;
  }
  telemetry::startLogging(aProgram, aSettings.text("node.id"), level);
}

} // namespace boragepitch::tools
