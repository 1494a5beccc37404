#include "RouterSettings.h"

#include <algorithm>

#include "relay/Relay.h"
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
constexpr double kBytesPerMb = 1e6;
/** Memory of a process that holds nothing for callers, with room for logs, lists and allocations
 * that are not charged. */
constexpr double kProcessMb = 25;
/** Share of the rest that may be held: strings that grow are copied, and freed blocks of less than
 * 256 KiB stay with the process. */
constexpr double kHeldShare = 0.5;
/** Descriptors beside the connections of callers and those that carry their requests: the store,
 * the status ports, and idle connections to endpoints. */
constexpr int64_t kOtherDescriptors = 256;
/** Off: where engines lack a valid version, refusing the less urgent frees no room for others. */
constexpr double kDefaultUrgentRefusals = 1;
} // namespace

base::Milliseconds storeWait(base::Milliseconds aDrainTime)
{
  return std::clamp(aDrainTime - kStoreAnswerTime, kMinStoreWait, kMaxStoreWait);
}

size_t heldBytes(double aMemoryMb, size_t aSystemMemory)
{
  double memory = aMemoryMb;
  if (aSystemMemory > 0) {
    memory = std::min(memory, static_cast<double>(aSystemMemory) / kBytesPerMb);
  }
  return static_cast<size_t>(std::max(1.0, memory - kProcessMb) * kHeldShare * kBytesPerMb);
}

size_t callerConnections(int64_t aConnections, int64_t aDescriptors)
{
  auto served = std::max<int64_t>(1, (aDescriptors - kOtherDescriptors) / 2);
  return static_cast<size_t>(std::min(aConnections, served));
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
    .address("listen.peers",
             "Address at which datagrams from other processes arrive, and at which entries of the "
             "region take copies of the operators' table.")
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
    .number("limits.memory",
            "Memory of the VM; what the system reports if that is less. Half of what the process "
            "itself does not need may be held for callers; beyond it requests are refused.",
            "MB",
            32,
            1000000,
            260)
    .integer("limits.descriptors",
             "Descriptors that the process may open; limits connections, too.",
             "descriptors",
             300,
             1000000,
             6300)
    .number(
      "limits.bandwidth",
      "Bandwidth of the VM's link. Entries with more of it pass large configurations on to the "
      "others of their region.",
      "Mbit/s",
      0,
      1000000,
      0)
    .integer("limits.framing",
             "Bytes of a request beside its head and its payload (sizes and extensions of chunks, "
             "trailers); also of an unfinished line of these.",
             "bytes",
             1024,
             16777216,
             static_cast<int64_t>(relay::RelayOptions().maxFramingBytes))
    .integer("limits.framing_ratio",
             "Further bytes of that kind for each byte of payload.",
             "bytes",
             5,
             1000,
             static_cast<int64_t>(relay::RelayOptions().framingBytesPerByte))
    .duration("limits.unread_timeout",
              "A caller that takes no byte of its answer for this long is disconnected.",
              1000,
              3600000,
              relay::RelayOptions().unreadTimeout.count())
    .integer("limits.status_connections",
             "Maximum number of connections to the readiness port, and to the metrics port; the "
             "oldest is closed for a new one.",
             "connections",
             1,
             1024,
             static_cast<int64_t>(relay::RelayOptions().maxStatusConnections))
    .duration("limits.status_timeout",
              "A connection to these ports that sends no whole request for this long is closed.",
              1000,
              3600000,
              relay::RelayOptions().statusTimeout.count())
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
    .number("hedges.share",
            "Second copies (hedges) of slow requests allowed per request, over all entries and in "
            "each window. Each takes a retry, too. 0 disables them.",
            "",
            0,
            0.5,
            0)
    .number("hedges.window",
            "Length of the sliding window in which requests and their second copies are counted.",
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
    .number(
      "admission.deferred_wait",
      "While more urgent requests of its service find no room: limit of the predicted wait of "
      "a request, relative to theirs.",
      "",
      0,
      100,
      serving::PlacementOptions().deferredWait)
    .number("admission.urgent_refusals",
            "Fraction of the more urgent requests that may find no room before less urgent ones of "
            "the same service are refused; 1 turns the refusal by priority off.",
            "",
            0,
            1,
            kDefaultUrgentRefusals)
    .number("admission.floor",
            "Minimum fraction of the requests of each priority that is admitted, relative to that "
            "of all requests.",
            "",
            0.25,
            1,
            serving::PriorityLimits().floor)
    .flag("admission.workspace_shares",
          "Divides what a priority is granted while its service is contested equally between the "
          "workspaces; what one does not use is left to the others.",
          serving::WorkspaceShares().isEnabled)
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
