#include "AgentSettings.h"

#include "SharedSettings.h"

namespace boragepitch::tools {

settings::Schema agentSchema()
{
  settings::Schema::Builder builder;
  addSharedKeys(builder);
  builder.address("node.data", "Address on which entries send requests.")
    .address("node.weights", "Address on which peers read chunks.")
    .text("endpoint.name", "Name of the Endpoint resource beside this agent.")
    .choice("engine.type", "What runs beside this agent.", { "model", "service" }, "model")
    .address("engine.address", "Address of the model engine or plain service.")
    .duration("engine.state_interval", "Between two reads of the engine's state.", 20, 10000, 500)
    .duration("engine.epoch_life",
              "How long an order epoch may be used after it was taken.",
              500,
              60000,
              5000)
    .integer("weights.cache_bytes",
             "Memory for chunks, chunks in flight included.",
             "bytes",
             1 << 20,
             int64_t{ 1 } << 34,
             64 << 20)
    .integer("weights.uplink_bytes_per_s",
             "Uplink of this VM; 0 means no limit.",
             "bytes/s",
             0,
             int64_t{ 1 } << 40,
             0)
    .integer("weights.downlink_bytes_per_s",
             "Downlink of this VM; 0 means no limit.",
             "bytes/s",
             0,
             int64_t{ 1 } << 40,
             0)
    .integer("weights.region_bytes_per_s",
             "Each direction of the link between this region and the others; 0 means no limit.",
             "bytes/s",
             0,
             int64_t{ 1 } << 40,
             2'500'000)
    .choice("weights.scheme",
            "How chunks are chosen; the others are baselines for measurements.",
            { "swarm", "origin", "chain", "trees" },
            "swarm")
    .integer("weights.fetch_threads", "Most chunk requests in flight.", "requests", 1, 64, 6)
    .integer("weights.neighbours", "Peers whose chunks are followed.", "processes", 1, 64, 10)
    .duration("weights.importer_timeout",
              "Without progress for this long, the next VM imports a chunk into the region.",
              100,
              600000,
              3000)
    .integer("limits.connections", "Most connections of entries.", "connections", 1, 65536, 1024)
    .integer("limits.body_bytes",
             "Largest body of a request of an entry.",
             "bytes",
             1024,
             256 << 20,
             16 << 20)
    .duration("leave.drain_limit",
              "Longest wait for requests in flight at shutdown.",
              100,
              3600000,
              600000);
  return builder.build();
}

} // namespace boragepitch::tools
