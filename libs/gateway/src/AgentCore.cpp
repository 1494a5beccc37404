#include "AgentCore.h"

#include <algorithm>

#include "base/Json.h"
#include "routing/EndpointTable.h"
#include "telemetry/Log.h"

namespace boragepitch::gateway {

namespace {

constexpr base::Duration kClosedRetryAfter = std::chrono::milliseconds(500);
/** Longest wait for a response head; cancelling the call ends it earlier. */
constexpr base::Milliseconds kReadTimeout{ 60000 };

net::ClientOptions relayOptions()
{
  return { .connectTimeout = base::Milliseconds(500),
           .readTimeout = kReadTimeout,
           .keepAlive = true };
}

} // namespace

AgentMetrics::AgentMetrics(telemetry::Registry& aRegistry)
  : started(aRegistry.counter("bp_agent_started_total", "Requests admitted"))
  , refused(aRegistry.counter("bp_agent_refused_total", "Requests refused and not run"))
  , cut(aRegistry.counter("bp_agent_cut_total", "Responses that the engine cut"))
  , foreign(aRegistry.counter("bp_agent_foreign_total",
                              "Engine responses discarded for another manifest or instance"))
  , crashes(aRegistry.counter("bp_agent_engine_crashes_total", "Engine crashes noticed"))
  , firstByte(aRegistry.histogram("bp_agent_first_byte_seconds",
                                  "Time from a request's arrival to the engine's response head"))
{
}

AgentCore::AgentCore(AgentOptions aOptions, telemetry::Registry& aMetrics)
  : options(std::move(aOptions))
  , metrics(aMetrics)
  , gate({})
  , runs(options.limits.maxEndedRuns, std::chrono::steady_clock::now())
  , pool(relayOptions())
{
  updateGate();
}

routing::AdmissionLimits AgentCore::admissionLimits(const EngineState& aState) const
{
  return { .cold = aState.cold,
           .coldLimit = aState.coldLimit,
           .warmLimit = aState.warmLimit,
           .maxQueue = options.limits.maxQueue,
           .maxQueueWait = options.limits.maxQueueWait };
}

void AgentCore::setServing(EngineState aState)
{
  {
    std::lock_guard lock(mMutex);
    mCrashedInstance = aState.instance == mCrashedInstance ? mCrashedInstance : std::string();
  }
  gate.setLimits(admissionLimits(aState));
  mEngine.store(std::make_shared<const EngineState>(std::move(aState)));
  updateGate();
}

void AgentCore::setDraining(bool aDraining)
{
  mDraining = aDraining;
  updateGate();
}

void AgentCore::setLeaving()
{
  mLeaving = true;
  updateGate();
}

std::string AgentCore::closedReasonAt(base::TimePoint aNow) const
{
  if (mLeaving) {
    return "endpoint is leaving";
  }
  if (mDraining) {
    return "endpoint is switching versions";
  }
  auto state = mEngine.load();
  if (!state) {
    return "engine state is not known yet";
  }
  {
    std::lock_guard lock(mMutex);
    if (!mCrashedInstance.empty() && mCrashedInstance == state->instance) {
      return "engine has crashed";
    }
  }
  if (!options.fleet->mayStartNewWork(aNow)) {
    return "endpoint is isolated from the fleet";
  }
  return routing::outOfServiceReason(*options.fleet->config(), options.endpoint, options.zone);
}

std::string AgentCore::closedReason() const
{
  return closedReasonAt(std::chrono::steady_clock::now());
}

void AgentCore::updateGate()
{
  std::lock_guard lock(mGateMutex);
  std::string reason = closedReason();
  if (reason == gate.closedReason()) {
    return;
  }
  gate.close(reason, kClosedRetryAfter);
  telemetry::logEvent(telemetry::Level::Info,
                      reason.empty() ? "admission_open" : "admission_closed",
                      { { "endpoint", options.endpoint }, { "reason", reason } });
}

void AgentCore::refresh()
{
  updateGate();
  gate.tick();
  auto nodes = options.fleet->nodes();
  auto now = std::chrono::steady_clock::now();
  bool changed = false;
  std::vector<control::Suspect> published;
  {
    std::lock_guard lock(mMutex);
    if (nodes != mSeenNodes) {
      mSeenNodes = std::move(nodes);
      learnSuspects(now);
    }
    changed = mPoison.expire(now);
    published = mPoison.published();
  }
  if (changed && options.onSuspects) {
    options.onSuspects(std::move(published));
  }
}

void AgentCore::learnSuspects(base::TimePoint aNow)
{
  for (const auto& [id, node] : *mSeenNodes) {
    if (id == options.nodeId) {
      continue;
    }
    // Oldest first: a request is cleared of its only crash, not of one of two.
    const auto& suspects = node.state.suspects;
    std::for_each(suspects.rbegin(), suspects.rend(), [&](const control::Suspect& aSuspect) {
      mPoison.learn(aSuspect, aNow);
    });
  }
}

base::Result<EngineState> AgentCore::queryEngine() const
{
  auto timeout = options.limits.probeTimeout;
  net::HttpClient client(options.target, { .connectTimeout = timeout, .readTimeout = timeout });
  auto response = client.send({ .target = "/state" });
  if (!response) {
    return tl::make_unexpected(response.error());
  }
  auto body = base::parseJson(response->body);
  if (!body) {
    return tl::make_unexpected(body.error());
  }
  EngineState state;
  state.instance = base::stringOr(*body, "instance");
  state.cold = base::boolOr(*body, "cold", true);
  return state;
}

bool AgentCore::confirmWarm()
{
  auto known = mEngine.load();
  auto state = queryEngine();
  if (state && !state->cold && state->instance == known->instance) {
    return true;
  }
  // An engine that does not answer is assumed to be cold, since too many requests crash a cold one.
  EngineState changed = *known;
  changed.cold = true;
  gate.setLimits(admissionLimits(changed));
  mEngine.store(std::make_shared<const EngineState>(std::move(changed)));
  return false;
}

std::string AgentCore::checkCrash(const std::string& aInstance)
{
  auto state = queryEngine();
  if (state && state->instance == aInstance) {
    return {};
  }
  bool firstReport = false;
  {
    std::lock_guard lock(mMutex);
    firstReport = mCrashedInstance != aInstance;
    mCrashedInstance = aInstance;
  }
  if (firstReport) {
    metrics.crashes.add();
    updateGate();
    if (options.onCrash) {
      options.onCrash(aInstance);
    }
  }
  return options.endpoint + "/" + aInstance;
}

void AgentCore::recordCrash(const std::string& aFingerprint, const std::string& aCrashId)
{
  std::vector<control::Suspect> published;
  {
    std::lock_guard lock(mMutex);
    mPoison.recordCrash(aFingerprint, aCrashId, std::chrono::steady_clock::now());
    published = mPoison.published();
  }
  if (options.onSuspects) {
    options.onSuspects(std::move(published));
  }
}

void AgentCore::recordCompletion(const std::string& aFingerprint)
{
  std::vector<control::Suspect> published;
  {
    std::lock_guard lock(mMutex);
    if (!mPoison.recordCompletion(aFingerprint, std::chrono::steady_clock::now())) {
      return;
    }
    published = mPoison.published();
  }
  if (options.onSuspects) {
    options.onSuspects(std::move(published));
  }
}

void AgentCore::recordProgress(const std::string& aFingerprint)
{
  std::vector<control::Suspect> published;
  {
    std::lock_guard lock(mMutex);
    if (!mPoison.recordProgress(aFingerprint, std::chrono::steady_clock::now())) {
      return;
    }
    published = mPoison.published();
  }
  if (options.onSuspects) {
    options.onSuspects(std::move(published));
  }
}

routing::Suspicion AgentCore::suspicion(const std::string& aFingerprint,
                                        const std::string& aCrashId)
{
  std::lock_guard lock(mMutex);
  if (!aCrashId.empty()) {
    mPoison.learn({ aFingerprint, aCrashId }, std::chrono::steady_clock::now());
  }
  return mPoison.suspicion(aFingerprint);
}

void AgentCore::addLoadHeaders(net::HttpResponse& aResponse) const
{
  aResponse.headers.emplace_back(kLoadRunning, std::to_string(gate.running()));
  aResponse.headers.emplace_back(kLoadQueued, std::to_string(gate.queued()));
  aResponse.headers.emplace_back(kCold, gate.isCold() ? "1" : "0");
}

net::HttpResponse AgentCore::refuse(const routing::Decision& aDecision) const
{
  Refusal refusal;
  refusal.message = aDecision.reason;
  refusal.retryAfter = std::max<base::Duration>(aDecision.retryAfter, base::Milliseconds(50));
  auto response = toResponse(refusal);
  if (!gate.closedReason().empty()) {
    response.headers.emplace_back(kClosed, "1");
  }
  addLoadHeaders(response);
  return response;
}

base::Result<AttemptHeaders> readAttempt(AgentCore& aCore, const net::HttpRequest& aRequest)
{
  AttemptHeaders attempt;
  attempt.id = aRequest.header(kRequestId).value_or("");
  attempt.attempt = aRequest.header(kAttempt).value_or("");
  attempt.fingerprint = aRequest.header(kFingerprint).value_or("");
  attempt.crashId = aRequest.header(kSuspect).value_or("");
  auto priority = integerHeader(aRequest.headers, kPriority, 0, 9, kDefaultPriority);
  constexpr int64_t kMaxDeadlineMs = 24LL * 3600 * 1000;
  auto deadline = integerHeader(
    aRequest.headers, kDeadline, 0, kMaxDeadlineMs, aCore.options.limits.defaultDeadline.count());
  constexpr int64_t kMaxTokens = 1 << 20;
  auto tokens = integerHeader(aRequest.headers, kTokens, 1, kMaxTokens, 1);
  if (attempt.id.empty() || !priority || !deadline || !tokens) {
    return base::fail(
      base::ErrorKind::Invalid,
      "headers",
      "X-Request-Id is missing, or X-Priority, X-Deadline-Ms or X-Tokens out of range",
      "correct the headers");
  }
  attempt.admission.id = ++aCore.lastAdmissionId;
  attempt.admission.priority = static_cast<int>(*priority);
  attempt.admission.size = static_cast<double>(*tokens);
  auto config = aCore.options.fleet->config();
  std::string workspace = aRequest.header(kWorkspace).value_or("");
  if (const auto* spec = config->spec<resources::Workspace>("Workspace", workspace)) {
    attempt.admission.worth = spec->worth;
  }
  attempt.admission.deadline = std::chrono::steady_clock::now() + base::Milliseconds(*deadline);
  return attempt;
}

} // namespace boragepitch::gateway
