#include "EntryCore.h"

#include <algorithm>

#include "base/Digest.h"
#include "base/Json.h"

namespace boragepitch::gateway {

namespace {

constexpr base::Duration kClosedRetryAfter = std::chrono::milliseconds(500);
constexpr size_t kMaxNameLength = 200;

net::ClientOptions relayOptions()
{
  return { .connectTimeout = base::Milliseconds(500),
           .readTimeout = base::Milliseconds(60000), // Cancelling ends a call earlier.
           .keepAlive = true };
}

/** Wall-clock time in milliseconds; makes ids unique across restarts of the process. */
std::string processStart()
{
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::to_string(std::chrono::duration_cast<base::Milliseconds>(now).count());
}

routing::ClaimStore::Options claimOptions(const EntryOptions& aOptions)
{
  routing::ClaimStore::Options options;
  options.owner = aOptions.nodeId;
  options.incarnation = processStart();
  return options;
}

base::Rng& threadRng(uint64_t aSeed)
{
  static std::atomic<uint64_t> threads{ 0 };
  thread_local base::Rng rng(aSeed + 0x9e3779b97f4a7c15ULL * ++threads);
  return rng;
}

} // namespace

EntryMetrics::EntryMetrics(telemetry::Registry& aRegistry)
  : requests(aRegistry.counter("bp_entry_requests_total", "Requests of callers"))
  , answered(aRegistry.counter("bp_entry_answered_total", "Requests answered whole"))
  , refused(aRegistry.counter("bp_entry_refused_total", "Requests refused"))
  , retries(aRegistry.counter("bp_entry_retries_total", "Further attempts after a refusal or loss"))
  , resumed(aRegistry.counter("bp_entry_resumed_total", "Streams resumed after a cut"))
  , cut(aRegistry.counter("bp_entry_cut_total", "Streams that ended with an error event"))
  , foreign(aRegistry.counter("bp_entry_foreign_total", "Responses discarded as foreign"))
  , silentConnections(
      aRegistry.counter("bp_entry_silent_total", "Connections found silent by a probe"))
  , callersLeft(aRegistry.counter("bp_entry_callers_left_total", "Callers that disconnected early"))
  , firstEvent(aRegistry.histogram("bp_entry_first_event_seconds",
                                   "Time from a request's arrival to its first event"))
{
}

EntryCore::EntryCore(EntryOptions aOptions,
                     telemetry::Registry& aMetrics,
                     std::unique_ptr<routing::EndpointChoice> aChoice)
  : options(std::move(aOptions))
  , metrics(aMetrics)
  , pool(relayOptions())
  , claims(*options.table, claimOptions(options))
  , mChoice(std::move(aChoice))
  , mRunIdPrefix(options.nodeId + "-" + processStart() + "-")
  , mLimit({ .initial = options.limits.maxConcurrency, .maximum = options.limits.maxConcurrency })
  , mRetries(options.limits.retryRatio, options.limits.retryReserve)
{
  if (!mChoice) {
    mChoice = std::make_unique<routing::PowerOfTwoChoice>(&hints);
  }
  refresh();
}

void EntryCore::refresh()
{
  std::lock_guard lock(mRefreshMutex);
  auto config = options.fleet->config();
  auto nodes = options.fleet->nodes();
  if (config == mSeenConfig && nodes == mSeenNodes) {
    return;
  }
  mSeenConfig = std::move(config);
  mSeenNodes = std::move(nodes);
  auto previous = mTable.load();
  auto table = routing::EndpointTable::build(*mSeenConfig, *mSeenNodes, previous.get());
  int capacity = table->totalLimit();
  mTable.store(std::move(table));
  learnSuspects();
  std::lock_guard stateLock(mMutex);
  mLimit.updateCapacity(capacity);
}

void EntryCore::learnSuspects()
{
  auto now = std::chrono::steady_clock::now();
  std::lock_guard lock(mMutex);
  for (const auto& [id, node] : *mSeenNodes) {
    // Oldest first: a request is cleared of its only crash, not of one of two.
    const auto& suspects = node.state.suspects;
    std::for_each(suspects.rbegin(), suspects.rend(), [&](const control::Suspect& aSuspect) {
      mPoison.learn(aSuspect, now);
    });
  }
  mPoison.expire(now);
}

tl::expected<CallerRequest, Refusal> EntryCore::accept(const net::HttpRequest& aRequest)
{
  metrics.requests.add();
  auto now = std::chrono::steady_clock::now();
  auto invalid = [](std::string aMessage, std::string aRemedy) {
    Refusal refusal{ 400, Ran::No, "invalid", std::move(aMessage), std::move(aRemedy), {} };
    return tl::make_unexpected(std::move(refusal));
  };
  auto closed = [](std::string aMessage) {
    return tl::make_unexpected(overloadRefusal(std::move(aMessage), kClosedRetryAfter));
  };
  CallerRequest request;
  request.workspace = aRequest.header(kWorkspace).value_or("");
  if (request.workspace.empty() || request.workspace.size() > kMaxNameLength ||
      request.workspace.find('/') != std::string::npos) {
    return invalid("X-Workspace is missing or malformed", "send the workspace's name");
  }
  auto priority = integerHeader(aRequest.headers, kPriority, 0, 9, kDefaultPriority);
  auto deadline = integerHeader(aRequest.headers,
                                kDeadline,
                                1,
                                options.limits.maxDeadline.count(),
                                options.limits.defaultDeadline.count());
  if (!priority || !deadline) {
    return invalid("X-Priority or X-Deadline-Ms is out of range",
                   "send a priority from 0 to 9 and a deadline in milliseconds");
  }
  if (mLeaving) {
    return closed("this entry is leaving; use another");
  }
  if (!options.fleet->mayStartNewWork(now)) {
    return closed("this entry is isolated from the fleet");
  }
  request.priority = static_cast<int>(*priority);
  request.arrivedAt = now;
  request.deadline = now + base::Milliseconds(*deadline);
  request.runId = mRunIdPrefix + std::to_string(++mLastRunNumber);
  request.requestId = aRequest.header(kRequestId).value_or(request.runId);
  return request;
}

std::shared_ptr<const routing::EndpointInfo> EntryCore::choose(routing::ChoiceRequest aRequest)
{
  aRequest.zone = options.zone;
  aRequest.region = options.region;
  auto table = mTable.load();
  const routing::EndpointInfo* chosen =
    mChoice->choose(*table, aRequest, std::chrono::steady_clock::now(), threadRng(options.seed));
  if (chosen == nullptr) {
    return nullptr;
  }
  ++chosen->load->inFlight;
  // The pointer shares ownership of the table, which a refresh may replace.
  return { std::move(table), chosen };
}

void EntryCore::avoid(const routing::EndpointInfo& aEndpoint, base::Duration aDuration)
{
  auto until = std::chrono::steady_clock::now() + aDuration;
  aEndpoint.load->avoidUntil = until.time_since_epoch().count();
}

void EntryCore::recordLoad(const routing::EndpointInfo& aEndpoint, const net::ClientResponse& aHead)
{
  constexpr int64_t kMaxReported = 1 << 20;
  auto running = integerHeader(aHead.headers, kLoadRunning, 0, kMaxReported, -1);
  auto queued = integerHeader(aHead.headers, kLoadQueued, 0, kMaxReported, 0);
  if (running && queued && *running >= 0) {
    aEndpoint.load->reportedRunning = static_cast<int>(*running);
    aEndpoint.load->reportedQueued = static_cast<int>(*queued);
    aEndpoint.load->reportedAt = std::chrono::steady_clock::now().time_since_epoch().count();
  }
}

bool EntryCore::tryStart(const std::string& aWorkspace)
{
  routing::WorkspaceWeight weight;
  auto config = options.fleet->config();
  if (const auto* spec = config->spec<resources::Workspace>("Workspace", aWorkspace)) {
    weight = { spec->share, spec->worth };
  }
  std::lock_guard lock(mMutex);
  if (!mFairShare.tryStart(aWorkspace, weight, mLimit.limit(), std::chrono::steady_clock::now())) {
    return false;
  }
  mRetries.recordFirstTry();
  return true;
}

void EntryCore::finish(const std::string& aWorkspace, bool aAnswered, bool aOverloaded)
{
  auto now = std::chrono::steady_clock::now();
  std::lock_guard lock(mMutex);
  if (aOverloaded) {
    mLimit.onOverload(now);
  } else if (aAnswered) {
    mLimit.onSuccess(mFairShare.inFlight());
  }
  mFairShare.finish(aWorkspace, now);
  if (mFairShare.inFlight() == 0) {
    mIdle.notify_all();
  }
}

bool EntryCore::tryRetry()
{
  std::lock_guard lock(mMutex);
  if (!mRetries.tryRetry()) {
    return false;
  }
  metrics.retries.add();
  return true;
}

routing::Suspicion EntryCore::suspicion(const std::string& aFingerprint)
{
  std::lock_guard lock(mMutex);
  return mPoison.suspicion(aFingerprint);
}

void EntryCore::learnSuspect(const control::Suspect& aSuspect)
{
  std::lock_guard lock(mMutex);
  mPoison.learn(aSuspect, std::chrono::steady_clock::now());
}

void EntryCore::recordProgress(const std::string& aFingerprint)
{
  std::lock_guard lock(mMutex);
  mPoison.recordProgress(aFingerprint, std::chrono::steady_clock::now());
}

bool EntryCore::isCleared(const std::string& aFingerprint, const std::string& aCrashId) const
{
  std::lock_guard lock(mMutex);
  return mPoison.isCleared(aFingerprint, aCrashId);
}

bool EntryCore::isAlive(const std::string& aNodeId) const
{
  auto nodes = options.fleet->nodes();
  auto found = nodes->find(aNodeId);
  return aNodeId == options.nodeId ||
         (found != nodes->end() && found->second.liveness != control::Liveness::Dead);
}

base::Result<Json::Value> EntryCore::queryAgent(const net::Address& aAgent,
                                                const char* aMethod,
                                                const std::string& aRunId) const
{
  auto timeout = options.limits.probeTimeout;
  net::HttpClient client(aAgent, { .connectTimeout = timeout, .readTimeout = timeout });
  auto response =
    client.send({ .method = aMethod, .target = "/run/" + net::percentEncode(aRunId) });
  if (!response) {
    return tl::make_unexpected(response.error());
  }
  constexpr size_t kMaxResponseBytes = 1 << 20;
  return base::parseJson(response->body, { .bytes = kMaxResponseBytes });
}

void EntryCore::cancelAsync(const net::Address& aAgent, const std::string& aRunId)
{
  workers.run([this, aAgent, aRunId] { queryAgent(aAgent, "DELETE", aRunId); });
}

size_t EntryCore::inFlight() const
{
  std::lock_guard lock(mMutex);
  return static_cast<size_t>(mFairShare.inFlight());
}

bool EntryCore::waitIdle(base::TimePoint aUntil)
{
  std::unique_lock lock(mMutex);
  return mIdle.wait_until(lock, aUntil, [this] { return mFairShare.inFlight() == 0; });
}

Json::Value EntryCore::dump() const
{
  Json::Value value;
  auto table = mTable.load();
  value["revision"] = Json::UInt64(table->revision());
  value["endpoints"] = Json::UInt64(table->size());
  value["leaving"] = mLeaving.load();
  std::lock_guard lock(mMutex);
  value["inFlight"] = mFairShare.inFlight();
  value["limit"] = mLimit.limit();
  value["suspects"] = Json::UInt64(mPoison.size());
  return value;
}

Refusal overloadRefusal(std::string aMessage, base::Duration aRetryAfter)
{
  Refusal refusal;
  refusal.message = std::move(aMessage);
  refusal.retryAfter = aRetryAfter;
  return refusal;
}

net::HttpResponse refuse(EntryCore& aCore, const Refusal& aRefusal, const std::string& aRequestId)
{
  aCore.metrics.refused.add();
  auto response = toResponse(aRefusal);
  if (!aRequestId.empty()) {
    response.headers.emplace_back(kRequestId, aRequestId);
  }
  return response;
}

std::string fingerprintOf(std::initializer_list<std::string_view> aParts)
{
  constexpr size_t kDigits = 32;
  base::Sha256 hash;
  for (std::string_view part : aParts) {
    // The length distinguishes different splits of the same text.
    hash.update(base::asBytes(std::to_string(part.size()) + ":"));
    hash.update(base::asBytes(part));
  }
  return base::toHex(hash.finish()).substr(0, kDigits);
}

} // namespace boragepitch::gateway
