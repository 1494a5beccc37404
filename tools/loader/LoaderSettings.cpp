#include "LoaderSettings.h"

#include "ServerLimits.h"
#include "serving/EntrySubset.h"
#include "serving/ReportSchedule.h"

namespace boragepitch::tools {

settings::Schema loaderSchema()
{
  settings::Schema::Builder builder;
  builder.text("node.id", "Name of this process, unique in the fleet.")
    .text("node.zone", "Availability zone of this VM.")
    .text("node.region", "Region of this VM.")
    .address("listen.weights", "Address at which other loaders request chunks.")
    .address("listen.metrics", "Address at which metrics are served.")
    .address("engine.address", "Address of the engine on this VM.")
    .text("engine.service", "Service to which the engine belongs.")
    .duration("engine.report_interval",
              "Interval between two reads of the engine's load while requests wait there.",
              20,
              60000,
              serving::ReportIntervals().busy.count())
    .duration("engine.quiet_report_interval",
              "Interval between two reads of the engine's load while no request waits there.",
              20,
              60000,
              serving::ReportIntervals().quiet.count())
    .integer("placement.entries_per_engine",
             "Entries that use one engine, as set for the entries. They receive each load report.",
             "entries",
             1,
             1000,
             static_cast<int64_t>(serving::SubsetOptions().entriesPerEndpoint))
    .address("store.address", "Address of the platform's store.")
    .duration(
      "store.wait",
      "Longest wait for a change in the store. Entries tell of declared versions meanwhile.",
      200,
      30000,
      24000)
    .freeSection("zones", "Region of each availability zone.", 1)
    .number("links.vm_mbps", "Rate of this VM's link, each way.", "Mbit/s", 0.01, 1000000, 1000)
    .number("links.weights_share", "Fraction of the link that weights may use.", "", 0.05, 1, 1)
    .duration(
      "weights.version_time",
      "Time after the declaration of a version from which requests start on no older version.",
      500,
      3600000,
      8000);
  builder.integer(
    "limits.status_connections",
    "Connections that the metrics port serves at once. Twice as many may wait; further "
    "ones are closed.",
    "connections",
    1,
    1024,
    16);
  addServerLimits(builder);
  return builder.build();
}

} // namespace boragepitch::tools
