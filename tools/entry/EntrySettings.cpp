#include "EntrySettings.h"

#include "SharedSettings.h"

namespace boragepitch::tools {

settings::Schema entrySchema()
{
  settings::Schema::Builder builder;
  addSharedKeys(builder);
  builder.address("node.public", "Address for callers and the resource API.")
    .freeSection(
      "operators", "Operator keys by name; each authorizes writes to the resource API.", 16)
    .duration("planner.lease", "Duration of the planner lease.", 1000, 600000, 6000)
    .duration("planner.interval", "Between two rounds of the planner.", 20, 60000, 200)
    .duration("claims.keep",
              "How long outcomes of calls are kept for repeats of their key.",
              60000,
              604800000,
              86400000)
    .integer("limits.connections", "Most connections of callers.", "connections", 1, 65536, 1024)
    .integer("limits.body_bytes", "Largest request body.", "bytes", 1024, 256 << 20, 4 << 20)
    .duration(
      "limits.default_deadline", "Deadline of requests without X-Deadline-Ms.", 100, 600000, 30000)
    .duration(
      "limits.progress_timeout", "Silence after which a connection is probed.", 50, 60000, 1000)
    .integer("limits.attempts", "Endpoints tried for one request.", "endpoints", 1, 16, 4)
    .choice("routing.choice",
            "How endpoints are chosen; the others are baselines for measurements.",
            { "two-choices", "round-robin", "least-loaded" },
            "two-choices")
    .duration("leave.drain_limit",
              "Longest wait for requests in flight at shutdown.",
              100,
              3600000,
              600000);
  return builder.build();
}

} // namespace boragepitch::tools
