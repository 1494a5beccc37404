#include "Core.h"

#include <algorithm>
#include <cstdio>
#include <span>

#include "Call.h"
#include "CallerSession.h"
#include "serving/Fragments.h"

namespace boragepitch::relay {

namespace {
/** Crash evidence is sent this often, as no later datagram supersedes it; 1 in 100 is lost. */
constexpr int kBroadcastCopies = 3;
/** When endpoints fail together, the entries notice it over some 100 ms and tell each other. */
constexpr base::Milliseconds kEvidenceDelay{ 150 };
/** Bounds what a flood of failures holds; the oldest evidence is then judged early. */
constexpr size_t kMaxUnjudgedEvidence = 8192;
/** An answer is given up before unfinished requests only if it holds this many times as much as the
 * largest of them: a request whose head is just being read holds 512 bytes. */
constexpr size_t kUnfinishedWeight = 16;
/** Other entries that are told of the quarantine in one round: what an entry sends must not grow
 * with their number. One that has just started hears of it from three others a round on average. */
constexpr size_t kQuarantineFanOut = 3;
/** Time between the first trials of two entries: by then the second one has heard whether the
 * first one's request crashed its endpoint. */
constexpr base::Milliseconds kTrialInterval{ 1000 };
/** With many entries the last ones do not wait for all others: a sound request is stopped no longer
 * than this after a wrong quarantine has ended elsewhere. */
constexpr base::Milliseconds kMaxTrialDelay{ 10000 };

std::string listOf(std::span<const serving::PromptPart> aParts)
{
  std::string text;
  for (serving::PromptPart part : aParts) {
    char id[20];
    std::snprintf(id, sizeof(id), "%016llx", static_cast<unsigned long long>(part));
    text += (text.empty() ? "" : ",") + std::string(id);
  }
  return text.empty() ? "-" : text;
}

std::array<telemetry::Counter*, serving::kPriorityCount> priorityCounters(
  telemetry::Registry& aRegistry)
{
  std::array<telemetry::Counter*, serving::kPriorityCount> counters{};
  for (size_t i = 0; i < counters.size(); ++i) {
    counters[i] = &aRegistry.counter("bp_relay_refused_by_priority_total",
                                     "Requests refused so that more urgent ones find room",
                                     "priority=\"" + std::to_string(i) + "\"");
  }
  return counters;
}
} // namespace

std::string milliseconds(std::optional<base::Duration> aTime)
{
  return aTime ? std::to_string(base::toMilliseconds(*aTime)) : "-";
}

RelayMetrics::RelayMetrics(telemetry::Registry& aRegistry)
  : served(aRegistry.counter("bp_relay_served_total", "Requests answered with success"))
  , refused(aRegistry.counter("bp_relay_refused_total", "Requests refused without being run"))
  , rejected(aRegistry.counter("bp_relay_rejected_total", "Requests answered 4xx by the entry"))
  , failed(aRegistry.counter("bp_relay_failed_total", "Requests that may have run and failed"))
  , abandoned(aRegistry.counter("bp_relay_abandoned_total", "Requests whose caller left"))
  , refusedByStop(
      aRegistry.counter("bp_relay_refused_by_stop_total",
                        "Requests refused because the process may end before their answer"))
  , cutByStop(
      aRegistry.counter("bp_relay_cut_by_stop_total", "Requests given up because the process ends"))
  , repeats(aRegistry.counter("bp_relay_repeats_total", "Sends to a further endpoint"))
  , resumes(aRegistry.counter("bp_relay_resumes_total", "Streams continued on another endpoint"))
  , connects(aRegistry.counter("bp_relay_connects_total", "New connections to endpoints"))
  , sentAfterLeave(
      aRegistry.counter("bp_relay_sent_after_leave_total",
                        "Requests written to an endpoint that was known to leave by then"))
  , begunOutdated(
      aRegistry.counter("bp_relay_begun_outdated_total",
                        "Requests that began on weights whose replacement was enforced"))
  , quarantined(aRegistry.counter("bp_relay_quarantined_total",
                                  "Requests failed because they may crash their endpoint"))
  , refusedByPriority(priorityCounters(aRegistry))
  , framingRejected(
      aRegistry.counter("bp_relay_framing_rejected_total",
                        "Requests rejected for the size of what frames their payload"))
  , refusedForMemory(aRegistry.counter("bp_relay_refused_for_memory_total",
                                       "Requests refused because the process holds too many bytes"))
  , closedUnread(aRegistry.counter("bp_relay_closed_unread_total",
                                   "Connections closed because the caller did not read its answer"))
  , closedForOthers(aRegistry.counter("bp_relay_closed_for_others_total",
                                      "Connections without a request closed to accept others"))
  , hedgesSent(aRegistry.counter("bp_relay_hedges_sent_total", "Second copies of slow requests"))
  , hedgesWon(aRegistry.counter("bp_relay_hedges_won_total",
                                "Second copies that were answered before the first"))
  , hedgesLost(aRegistry.counter("bp_relay_hedges_lost_total",
                                 "Second copies that were cancelled or failed"))
  , callers(aRegistry.gauge("bp_relay_callers", "Open connections of callers"))
  , inFlight(aRegistry.gauge("bp_relay_in_flight", "Requests being handled"))
  , deploymentVersion(aRegistry.gauge("bp_relay_deployment_version", "Configuration in force"))
  , endpoints(aRegistry.gauge("bp_relay_endpoints", "Listed endpoints"))
  , firstByte(aRegistry.histogram("bp_relay_first_byte_seconds", "Request read to first byte out"))
  , total(aRegistry.histogram("bp_relay_total_seconds", "Request read to last byte out"))
{
  for (size_t i = 0; i < hedgesNotSent.size(); ++i) {
    auto reason = serving::toString(static_cast<serving::HedgeObstacle>(i));
    hedgesNotSent[i] = &aRegistry.counter("bp_relay_hedges_not_sent_total",
                                          "Slow requests without a second copy, by reason",
                                          "reason=\"" + std::string(reason) + "\"");
  }
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
  , admission(options.priorities, options.workspaceShares)
  , retryBudget(options.retries)
  , hedges(options.hedges)
  , stop(options.leaveAcceptTime, options.leaveLimit)
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
    next->at += startGrace();
  }
  return next;
}

base::Duration Core::startGrace() const
{
  auto grace = base::Duration(options.versionStartGrace);
  return grace -
         std::clamp(loopDelay.value().value_or(base::Duration(0)), base::Duration(0), grace);
}

uint64_t Core::newestVersion(const std::string& aModel) const
{
  auto found = versions.find(aModel);
  return found == versions.end() ? 0 : found->second.newest();
}

void Core::reportCrash(serving::CrashEvidence aEvidence,
                       base::TimePoint aSentAt,
                       base::TimePoint aNow)
{
  auto lastFailure = quarantine.lastOtherFailure(aEvidence.endpoint);
  aEvidence.isIsolated = !lastFailure || *lastFailure <= aSentAt;
  if (recordCrash(aEvidence, aNow)) {
    broadcast(aEvidence);
  }
}

bool Core::recordCrash(const serving::CrashEvidence& aEvidence, base::TimePoint aNow)
{
  bool wasQuarantined = suspects.isQuarantined(aEvidence.fingerprint, aNow);
  bool isNew = suspects.record(aEvidence, aNow);
  if (!isNew) {
    return false;
  }
  if (!wasQuarantined && suspects.isQuarantined(aEvidence.fingerprint, aNow)) {
    logQuarantine(aEvidence.fingerprint, "crash", aNow);
  }
  reportedCrashes.add(aEvidence, aNow);
  quarantine.recordFailure(aEvidence, aNow);
  log.write(telemetry::EventClass::Refused,
            "crash_evidence",
            { { "endpoint", aEvidence.endpoint }, { "parts", listOf(aEvidence.parts) } },
            aNow);
  if (quarantine.canJudge(aEvidence, aNow)) {
    judge(aEvidence, aNow, aNow);
    tellContradicted(aNow);
  } else {
    unjudgedEvidence.emplace_back(aNow, aEvidence);
  }
  return true;
}

void Core::judgeEvidence(base::TimePoint aNow)
{
  while (!unjudgedEvidence.empty() &&
         (unjudgedEvidence.size() > kMaxUnjudgedEvidence ||
          aNow - unjudgedEvidence.front().first >= base::Duration(kEvidenceDelay))) {
    auto [recordedAt, evidence] = std::move(unjudgedEvidence.front());
    unjudgedEvidence.pop_front();
    judge(evidence, recordedAt, aNow);
  }
  tellContradicted(aNow); // All parts at once: a common failure contradicts many.
}

void Core::judge(const serving::CrashEvidence& aEvidence,
                 base::TimePoint aRecordedAt,
                 base::TimePoint aNow)
{
  auto parts = quarantine.recordCrash(aEvidence, aRecordedAt);
  if (!parts.empty()) {
    bool isInForce = quarantine.isQuarantined(parts, aNow);
    log.write(telemetry::EventClass::Critical,
              "parts_quarantined",
              { { "parts", listOf(parts) }, { "doubt", isInForce ? "no" : "yes" } },
              aNow);
    spreadQuarantine(aNow);
  }
}

void Core::tellContradicted(base::TimePoint aNow)
{
  auto contradicted = quarantine.takeContradicted(aNow);
  if (!contradicted.empty()) {
    tellProof(std::move(contradicted), aNow);
  }
}

void Core::recordLife(const serving::Endpoint& aEndpoint,
                      base::TimePoint aOpenedAt,
                      base::TimePoint aNow)
{
  if (reportedCrashes.isEmpty()) {
    return;
  }
  for (serving::CrashEvidence& evidence :
       reportedCrashes.refute(aEndpoint.crashKey(), aOpenedAt, aNow)) {
    retractCrash(evidence, "answer", aNow);
    evidence.parts.clear();
    broadcast(serving::CrashRefutation{ std::move(evidence) });
  }
}

void Core::retractCrash(const serving::CrashEvidence& aEvidence,
                        std::string_view aSource,
                        base::TimePoint aNow)
{
  reportedCrashes.remove(aEvidence);
  std::erase_if(unjudgedEvidence, [&](const auto& aUnjudged) {
    return aUnjudged.second.endpoint == aEvidence.endpoint &&
           aUnjudged.second.fingerprint == aEvidence.fingerprint;
  });
  suspects.retract(aEvidence, aNow);
  auto ended = quarantine.retract(aEvidence, aNow);
  log.write(telemetry::EventClass::Refused,
            "crash_refuted",
            { { "endpoint", aEvidence.endpoint },
              { "fingerprint", std::to_string(aEvidence.fingerprint) },
              { "from", std::string(aSource) },
              { "released", listOf(ended) } },
            aNow);
}

void Core::recordCompletion(uint64_t aFingerprint, base::TimePoint aNow)
{
  if (suspects.recordCompletion(aFingerprint, aNow)) {
    broadcast(serving::RequestNotice{ {}, { aFingerprint } });
  }
}

void Core::recordProof(std::span<const serving::PromptPart> aParts,
                       base::TimePoint aBegunAt,
                       base::TimePoint aNow)
{
  auto released = quarantine.recordProof(aParts, aBegunAt);
  if (!released.empty()) {
    tellProof(std::move(released), aNow);
  }
}

void Core::tellProof(std::vector<serving::PromptPart> aParts, base::TimePoint aNow)
{
  log.write(
    telemetry::EventClass::Critical, "quarantine_disproved", { { "parts", listOf(aParts) } }, aNow);
  broadcast(serving::PartNotice{ {}, std::move(aParts) });
}

bool Core::makeRoom(size_t aBytes)
{
  while (!memory.admits(aBytes) && dropPipelined()) {
  }
  return memory.admits(aBytes);
}

bool Core::dropPipelined()
{
  auto holder =
    std::max_element(sessions.begin(), sessions.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft->pipelinedBytes() < aRight->pipelinedBytes();
    });
  if (holder == sessions.end() || (*holder)->pipelinedBytes() == 0) {
    return false;
  }
  (*holder)->dropPipelined();
  return true;
}

void Core::relieveMemory(base::TimePoint aNow)
{
  for (;;) {
    size_t ending = 0; // Held by what was given up and is released in a later turn of the loop.
    std::shared_ptr<CallerSession> unread;
    std::shared_ptr<CallerSession> unfinished;
    std::shared_ptr<Call> answered;
    auto chooseLarger = [](auto& aBest, const auto& aOther, size_t aBytes, size_t& aMost) {
      if (aBytes > aMost) {
        aBest = aOther;
        aMost = aBytes;
      }
    };
    size_t mostUnread = 0;
    size_t mostUnfinished = 0;
    size_t mostAnswered = 0;
    for (const auto& session : sessions) {
      ending += session->endingBytes();
      chooseLarger(unread, session, session->stalledBytes(aNow), mostUnread);
      chooseLarger(unfinished, session, session->unfinishedBytes(), mostUnfinished);
      if (session->call()) {
        chooseLarger(answered, session->call(), session->call()->heldBytes(), mostAnswered);
      }
    }
    if (memory.held() <= memory.limit() + ending) {
      return;
    }
    if (unread) {
      unread->closeUnread(aNow);
    } else if (dropPipelined()) {
      continue;
    } else if (unfinished && mostUnfinished >= mostAnswered / kUnfinishedWeight) {
      unfinished->giveUpRequest();
    } else if (answered) {
      answered->giveUpAnswer(aNow);
    } else {
      return; // What is left is being written to callers that read it.
    }
  }
}

void Core::setTrialDelay(std::span<const serving::EntryIdentity> aOthers)
{
  auto earlier = std::count_if(
    aOthers.begin(), aOthers.end(), [&](const auto& aOther) { return aOther.name < options.node; });
  quarantine.setTrialDelay(
    std::min<base::Duration>(earlier * kTrialInterval, base::Duration(kMaxTrialDelay)));
}

void Core::spreadQuarantine(base::TimePoint aNow)
{
  if (peers.empty()) {
    return;
  }
  for (const serving::PeerMessage& notice : quarantineNotices(aNow)) {
    sendToSome(notice);
  }
}

std::vector<serving::PeerMessage> Core::quarantineNotices(base::TimePoint aNow)
{
  std::vector<serving::PeerMessage> notices;
  auto parts = quarantine.quarantined(serving::kMaxQuarantinedPartsOfNotice, aNow);
  if (!parts.empty()) {
    notices.emplace_back(serving::PartNotice{ std::move(parts), {} });
  }
  auto requests = suspects.quarantined(serving::kMaxQuarantinedRequestsOfNotice, aNow);
  if (!requests.empty()) {
    notices.emplace_back(serving::RequestNotice{ std::move(requests), {} });
  }
  return notices;
}

void Core::tellQuarantine(const asio::ip::udp::endpoint& aReceiver, base::TimePoint aNow)
{
  for (const serving::PeerMessage& notice : quarantineNotices(aNow)) {
    sendTo(datagramsOf(notice), aReceiver);
  }
}

void Core::logQuarantine(uint64_t aFingerprint, std::string_view aSource, base::TimePoint aNow)
{
  log.write(telemetry::EventClass::Critical,
            "request_quarantined",
            { { "fingerprint", std::to_string(aFingerprint) }, { "from", std::string(aSource) } },
            aNow);
}

void Core::applyNotice(const serving::RequestNotice& aNotice, base::TimePoint aNow)
{
  for (uint64_t fingerprint : aNotice.completed) {
    suspects.recordCompletion(fingerprint, aNow);
  }
  for (const serving::QuarantinedRequest& told : aNotice.quarantined) {
    if (suspects.adopt(told, aNow)) {
      logQuarantine(told.fingerprint, "peer", aNow);
    }
  }
}

void Core::askForQuarantine()
{
  if (!peers.empty()) {
    sendToSome(serving::PartNotice{});
  }
}

std::vector<std::string> Core::datagramsOf(const serving::PeerMessage& aMessage)
{
  std::string text = serving::encode(aMessage);
  auto datagrams = serving::split(text, ++sentMessages);
  if (datagrams.empty()) {
    log.write(telemetry::EventClass::Critical,
              "message_too_long",
              { { "bytes", std::to_string(text.size()) } },
              std::chrono::steady_clock::now());
  }
  return datagrams;
}

void Core::sendTo(const std::vector<std::string>& aDatagrams,
                  const asio::ip::udp::endpoint& aReceiver)
{
  for (const std::string& datagram : aDatagrams) {
    ErrorCode ignored; // Further copies and the notices of the next rounds reach the entry as well.
    peerSocket.send_to(asio::buffer(datagram), aReceiver, 0, ignored);
  }
}

void Core::sendToSome(const serving::PeerMessage& aMessage)
{
  auto datagrams = datagramsOf(aMessage);
  for (size_t i = 0; i < std::min(kQuarantineFanOut, peers.size()); ++i) {
    sendTo(datagrams, peers[base::uniformBelow(rng, peers.size())]);
  }
}

void Core::applyNotice(const serving::PartNotice& aNotice,
                       const asio::ip::udp::endpoint& aSender,
                       base::TimePoint aNow)
{
  if (aNotice.quarantined.empty() && aNotice.proved.empty()) {
    tellQuarantine(aSender, aNow);
    return;
  }
  quarantine.recordToldProof(aNotice.proved, aNow);
  std::vector<serving::PromptPart> disproved;
  for (const serving::QuarantinedParts& told : aNotice.quarantined) {
    bool wasQuarantined = quarantine.isQuarantined(told.parts, aNow);
    auto contradicted = quarantine.adopt(told, aNow);
    disproved.insert(disproved.end(), contradicted.begin(), contradicted.end());
    if (!wasQuarantined && quarantine.isQuarantined(told.parts, aNow)) {
      log.write(telemetry::EventClass::Critical,
                "parts_quarantined",
                { { "parts", listOf(told.parts) },
                  { "harmless", listOf(contradicted) },
                  { "evidence_ms", std::to_string(told.evidenceAge.count()) },
                  { "from", "peer" } },
                aNow);
    }
  }
  if (!disproved.empty()) {
    tellProof(std::move(disproved), aNow);
  }
}

void Core::broadcast(const serving::PeerMessage& aMessage)
{
  auto datagrams = datagramsOf(aMessage);
  for (const auto& peer : peers) {
    for (int copy = 0; copy < kBroadcastCopies; ++copy) {
      sendTo(datagrams, peer);
    }
  }
}

} // namespace boragepitch::relay
