#include "Core.h"

#include <algorithm>

#include "CallerSession.h"

namespace boragepitch::relay {

namespace {
/** Crash evidence is sent this often, as no later datagram supersedes it; 1 in 100 is lost. */
constexpr int kCrashEvidenceCopies = 3;
} // namespace

RelayMetrics::RelayMetrics(telemetry::Registry& aRegistry)
  : served(aRegistry.counter("bp_relay_served_total", "Requests answered with success"))
  , refused(aRegistry.counter("bp_relay_refused_total", "Requests refused without being run"))
  , rejected(aRegistry.counter("bp_relay_rejected_total", "Requests answered 4xx by the entry"))
  , failed(aRegistry.counter("bp_relay_failed_total", "Requests that may have run and failed"))
  , abandoned(aRegistry.counter("bp_relay_abandoned_total", "Requests whose caller left"))
  , repeats(aRegistry.counter("bp_relay_repeats_total", "Sends to a further endpoint"))
  , resumes(aRegistry.counter("bp_relay_resumes_total", "Streams continued on another endpoint"))
  , connects(aRegistry.counter("bp_relay_connects_total", "New connections to endpoints"))
  , sentAfterLeave(
      aRegistry.counter("bp_relay_sent_after_leave_total",
                        "Requests written to an endpoint that was known to leave by then"))
  , begunOutdated(
      aRegistry.counter("bp_relay_begun_outdated_total",
                        "Requests that began on weights whose replacement was enforced"))
  , callers(aRegistry.gauge("bp_relay_callers", "Open connections of callers"))
  , inFlight(aRegistry.gauge("bp_relay_in_flight", "Requests being handled"))
  , deploymentVersion(aRegistry.gauge("bp_relay_deployment_version", "Configuration in force"))
  , endpoints(aRegistry.gauge("bp_relay_endpoints", "Listed endpoints"))
  , firstByte(aRegistry.histogram("bp_relay_first_byte_seconds", "Request read to first byte out"))
  , total(aRegistry.histogram("bp_relay_total_seconds", "Request read to last byte out"))
{
}

Core::Core(RelayOptions aOptions,
           const HeaderCodec& aHeaderCodec,
           telemetry::Registry& aMetrics,
           telemetry::EventLog& aLog)
  : options(std::move(aOptions))
  , headerCodec(aHeaderCodec)
  , log(aLog)
  , metrics(aMetrics)
  , rng(options.seed)
  , endpoints(options.placement)
  , retryBudget(options.retries)
{
}

Core::~Core() = default;

uint64_t Core::requiredVersion(const std::string& aModel, base::TimePoint aNow) const
{
  auto found = versions.find(aModel);
  return found == versions.end() ? 0 : found->second.required(aNow);
}

std::optional<serving::DueVersion> Core::dueVersion(const std::string& aModel,
                                                    base::TimePoint aNow) const
{
  auto found = versions.find(aModel);
  auto next = found == versions.end() ? std::nullopt : found->second.next(aNow);
  if (next) {
    next->at += base::Duration(options.versionStartGrace);
  }
  return next;
}

uint64_t Core::newestVersion(const std::string& aModel) const
{
  auto found = versions.find(aModel);
  return found == versions.end() ? 0 : found->second.newest();
}

void Core::broadcastCrash(const serving::CrashEvidence& aEvidence)
{
  std::string text = serving::encode(aEvidence);
  for (const auto& peer : peers) {
    for (int copy = 0; copy < kCrashEvidenceCopies; ++copy) {
      ErrorCode ignored; // An unreachable peer still records the crashes that it sees itself.
      peerSocket.send_to(asio::buffer(text), peer, 0, ignored);
    }
  }
}

} // namespace boragepitch::relay
