#include "RouterSettings.h"

#include "serving/EndpointSet.h"

namespace boragepitch::tools {

namespace {
/** With the time for the store's answer it stays within a drain time of two seconds. */
constexpr base::Milliseconds kDefaultStoreWait{ 1100 };
} // namespace

settings::Schema routerSchema()
{
  settings::Schema::Builder builder;
  builder.text("node.id", "Name of this process, unique in the fleet.")
    .text("node.zone", "Availability zone of this VM.")
    .text("node.region", "Region of this VM.")
    .address("listen.callers", "Address for callers.")
    .address("listen.readiness", "Address at which the platform asks for readiness.")
    .address("listen.peers", "Address for datagrams of the other processes.")
    .address("listen.metrics", "Address of the metrics.")
    .address("store.address", "Address of the platform's store.")
    .duration("store.wait",
              "Longest wait for a change; a silent connection is noticed after this and a second, "
              "which must be within the drain time of endpoints.",
              200,
              30000,
              kDefaultStoreWait.count())
    .duration("store.lapse_grace",
              "After the store's return, time in which lapsed endpoints are listed again.",
              0,
              60000,
              2200)
    .freeSection("zones", "Region of each availability zone.", 1)
    .integer("limits.connections", "Most connections of callers.", "connections", 1, 65536, 3000)
    .number("retries.ratio", "Repeats allowed for each request.", "", 0, 10, 0.2)
    .number(
      "retries.slack", "Repeats allowed beyond that, over all entries.", "requests", 0, 100000, 0)
    .duration("retries.window", "Any span of this length counts.", 100, 600000, 10000)
    .number("cold.overshoot", "Factor on the rate that a cold endpoint bears.", "", 0.1, 100, 1.5)
    .number("cold.tolerance", "Requests beyond that in a second.", "requests", 0, 1000, 5)
    .duration("weights.version_time",
              "After a version was declared, requests start on no older one.",
              500,
              3600000,
              8000)
    .duration("weights.version_margin",
              "Part of that time kept for news on their way and requests that wait at an engine.",
              0,
              60000,
              1000)
    .number("admission.budget_factor",
            "Requests that would wait longer than this part of the latency target, their own "
            "prompt set aside, are "
            "refused; what is above leaves room for the error of the prediction.",
            "",
            0.1,
            100,
            serving::PlacementOptions().budgetFactor)
    .duration("admission.least_budget",
              "Requests predicted within this time and their target are not refused.",
              0,
              60000,
              serving::PlacementOptions().minBudget.count())
    .duration("leave.limit", "Longest wait for requests in flight at shutdown.", 100, 600000, 7000);
  return builder.build();
}

} // namespace boragepitch::tools
