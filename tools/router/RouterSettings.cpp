#include "RouterSettings.h"

#include <algorithm>

#include "serving/EndpointSet.h"

namespace boragepitch::tools {

namespace {
/** Time for the answer to a call that does not wait, and for a new connection after it. */
constexpr base::Milliseconds kStoreAnswerTime{ 900 };
constexpr base::Milliseconds kMinStoreWait{ 200 };
constexpr base::Milliseconds kMaxStoreWait{ 5000 };
/** Part of the grace period in which the process ends after its last answer, and its maximum. */
constexpr int kEndDivisor = 12;
constexpr base::Milliseconds kMaxEndTime{ 1000 };
} // namespace

base::Milliseconds storeWait(base::Milliseconds aDrainTime)
{
  return std::clamp(aDrainTime - kStoreAnswerTime, kMinStoreWait, kMaxStoreWait);
}

base::Milliseconds milliseconds(double aSeconds)
{
  return std::chrono::round<base::Milliseconds>(std::chrono::duration<double>(aSeconds));
}

base::Milliseconds leaveLimit(base::Milliseconds aGracePeriod)
{
  return aGracePeriod - std::min(aGracePeriod / kEndDivisor, kMaxEndTime);
}

base::Milliseconds leaveEndTime(base::Milliseconds aGracePeriod)
{
  return (aGracePeriod - leaveLimit(aGracePeriod)) / 2;
}

settings::Schema routerSchema()
{
  settings::Schema::Builder builder;
  builder.text("node.id", "Name of this process, unique in the fleet.")
    .text("node.zone", "Availability zone of this VM.")
    .text("node.region", "Region of this VM.")
    .address("listen.callers", "Address at which callers connect.")
    .address("listen.readiness", "Address at which the platform checks readiness.")
    .address("listen.peers", "Address at which datagrams from other processes arrive.")
    .address("listen.metrics", "Address at which metrics are served.")
    .address("store.address", "Address of the platform's store.")
    .duration("endpoints.drain_time",
              "Time for which an endpoint still serves after it announced its leave. A silent "
              "connection to the store is replaced within this time.",
              200,
              600000,
              2000)
    .duration("store.lapse_grace",
              "Time that lapsed endpoints have to register again after the store is back.",
              0,
              60000,
              2200)
    .freeSection("zones", "Region of each availability zone.", 1)
    .integer("limits.connections",
             "Maximum number of connections of callers.",
             "connections",
             1,
             65536,
             3000)
    .number("retries.ratio", "Retries allowed per request, on average.", "", 0, 10, 0.2)
    .number("retries.slack",
            "Retries allowed beyond that ratio, over all entries.",
            "requests",
            0,
            100000,
            0)
    .number("retries.window",
            "Length of the sliding window in which requests and retries are counted.",
            "s",
            0.1,
            600,
            10)
    .number(
      "cold.overshoot", "Factor on the rate that a cold endpoint can serve.", "", 0.1, 100, 1.5)
    .number(
      "cold.tolerance", "Requests allowed beyond that rate in a second.", "requests", 0, 1000, 5)
    .duration(
      "weights.version_time",
      "Time after the declaration of a version from which requests start on no older version.",
      500,
      3600000,
      8000)
    .duration(
      "weights.version_margin",
      "Part of that time reserved for changes in transit and for requests queued at an engine.",
      0,
      60000,
      1000)
    .number("admission.budget_factor",
            "Requests whose predicted wait, without their own prompt, exceeds this fraction "
            "of the latency target are "
            "refused; the rest leaves room for prediction errors.",
            "",
            0.1,
            100,
            serving::PlacementOptions().budgetFactor)
    .duration(
      "admission.least_budget",
      "Minimum of the limit that budget_factor sets; never above the latency target itself.",
      0,
      60000,
      serving::PlacementOptions().minBudget.count())
    .integer(
      "placement.entries_per_engine",
      "Entries that use one engine. Fewer know its load better; with too few, the engines of "
      "a busy entry are full while others are idle.",
      "entries",
      1,
      1000,
      static_cast<int64_t>(serving::SubsetOptions().entriesPerEndpoint))
    .number("leave.grace_period",
            "Time from the signal to stop until the platform kills the process. Requests in "
            "flight are answered before.",
            "s",
            0.1,
            600,
            8);
  return builder.build();
}

} // namespace boragepitch::tools
