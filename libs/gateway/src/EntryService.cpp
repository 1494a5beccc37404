#include <thread>

#include "EntryCore.h"
#include "base/Json.h"

namespace boragepitch::gateway {

namespace {

using routing::Claim;
using routing::ClaimState;
using routing::ServiceResponse;

constexpr size_t kMaxKeyLength = 200;
constexpr base::Duration kAvoidAfterFailure = std::chrono::milliseconds(500);
/** How long the agent is polled for a lost response. */
constexpr base::Duration kRecoveryTimeout = std::chrono::seconds(3);
constexpr base::Duration kRecoveryPollInterval = std::chrono::milliseconds(50);
constexpr base::Duration kClaimRetryAfter = std::chrono::milliseconds(500);

/** Matches a path against a pattern of a Service resource, in which {name} matches any segment. */
bool pathMatches(std::string_view aPattern, std::string_view aPath)
{
  while (aPattern.starts_with('/')) {
    aPattern.remove_prefix(1);
  }
  while (!aPattern.empty() || !aPath.empty()) {
    std::string_view pattern = aPattern.substr(0, aPattern.find('/'));
    std::string_view segment = aPath.substr(0, aPath.find('/'));
    bool isPlaceholder = pattern.starts_with('{') && pattern.ends_with('}') && !segment.empty();
    if (!isPlaceholder && pattern != segment) {
      return false;
    }
    aPattern.remove_prefix(std::min(pattern.size() + 1, aPattern.size()));
    aPath.remove_prefix(std::min(segment.size() + 1, aPath.size()));
  }
  return true;
}

bool isRepeatable(const resources::Service& aService,
                  const std::string& aMethod,
                  const std::string& aPath)
{
  for (const resources::ServiceCall& call : aService.calls) {
    if (call.method == aMethod && pathMatches(call.path, aPath)) {
      return call.repeatable;
    }
  }
  return false;
}

/** Result of one or more attempts at a call. */
struct CallResult
{
  std::optional<ServiceResponse> serviceResponse;
  Ran ran = Ran::No; ///< Valid without an answer.
  std::string message = "no endpoint takes the call now";
  base::Duration retryAfter = kAvoidAfterFailure;
  bool overloaded = false;
};

/** Serves one service call, with all its attempts. */
class ServiceSession
{
public:
  ServiceSession(EntryCore& aCore,
                 const net::HttpRequest& aRequest,
                 const CallerRequest& aCaller,
                 bool aRepeatable)
    : mCore(aCore)
    , mRequest(aRequest)
    , mCaller(aCaller)
    , mRepeatable(aRepeatable)
  {
  }

  CallResult run();

private:
  CallResult attempt(const routing::EndpointInfo& aEndpoint);
  net::ClientRequest toAgentRequest() const;
  CallResult toCallResult(const net::ClientResponse& aHead, std::string aBody);
  CallResult recoverOutcome(const net::Address& aAgent);
  bool neverRan(const Json::Value& aState) const;
  bool isPastDeadline() const { return std::chrono::steady_clock::now() >= mCaller.deadline; }

  EntryCore& mCore;
  const net::HttpRequest& mRequest;
  const CallerRequest& mCaller;
  const bool mRepeatable;
  int mAttempts = 0;
  bool mChargeRetry = true;
  std::string mRunId;
  base::TimePoint mAttemptStarted;
  std::vector<std::string> mExcluded;
};

CallResult ServiceSession::run()
{
  CallResult result;
  while (mAttempts < mCore.options.limits.maxAttempts && !isPastDeadline()) {
    if (mAttempts > 0 && mChargeRetry && !mCore.tryRetry()) {
      break;
    }
    routing::ChoiceRequest choice;
    choice.service = mRequest.pathParameters.at("service");
    choice.excluded = mExcluded;
    auto endpoint = mCore.choose(choice);
    if (!endpoint) {
      break;
    }
    bool overloaded = result.overloaded;
    Ran earlier = result.ran;
    result = attempt(*endpoint);
    mCore.releaseEndpoint(*endpoint);
    result.overloaded |= overloaded;
    if (result.serviceResponse) {
      break;
    }
    // One attempt of unknown outcome makes the whole call's outcome unknown.
    result.ran = earlier == Ran::Unknown ? Ran::Unknown : result.ran;
    if (result.ran != Ran::No && !mRepeatable) {
      break;
    }
    mCore.avoid(*endpoint, kAvoidAfterFailure);
    mExcluded.push_back(endpoint->name);
  }
  return result;
}

net::ClientRequest ServiceSession::toAgentRequest() const
{
  auto remaining =
    std::max(1LL, base::toMilliseconds(mCaller.deadline - std::chrono::steady_clock::now()));
  net::ClientRequest request;
  request.method = mRequest.method;
  request.target =
    "/run/service" + encodeTarget(mRequest.pathParameters.at("path"), mRequest.query);
  request.headers = { { kRequestId, mRunId },
                      { kAttempt, std::to_string(mAttempts) },
                      { kPriority, std::to_string(mCaller.priority) },
                      { kDeadline, std::to_string(remaining) },
                      { kWorkspace, mCaller.workspace } };
  if (auto key = mRequest.header(kIdempotencyKey)) {
    request.headers.emplace(kIdempotencyKey, *key);
  }
  request.body = mRequest.body;
  request.contentType = mRequest.header("Content-Type").value_or("application/json");
  return request;
}

CallResult ServiceSession::attempt(const routing::EndpointInfo& aEndpoint)
{
  mRunId = mCaller.runId + "." + std::to_string(++mAttempts);
  mAttemptStarted = std::chrono::steady_clock::now();
  mChargeRetry = true;
  // Uses a new connection: if the agent had just closed a pooled one, the failed call could not be
  // distinguished from one that ran.
  auto client = std::make_unique<net::HttpClient>(
    aEndpoint.dataAddress,
    net::ClientOptions{ .connectTimeout = base::Milliseconds(500),
                        .readTimeout = base::Milliseconds(60000) });
  auto call = UpstreamCall::start(mCore.workers, std::move(client), toAgentRequest());
  std::string body;
  std::string data;
  for (;;) {
    auto until = std::min<base::TimePoint>(
      mCaller.deadline, std::chrono::steady_clock::now() + mCore.options.limits.progressTimeout);
    CallEvent event = call->next(data, until);
    if (event == CallEvent::Data) {
      body += data;
    }
    if (event == CallEvent::End) {
      mCore.recordLoad(aEndpoint, call->head());
      return toCallResult(call->head(), std::move(body));
    }
    if (event == CallEvent::Failed && call->error().kind == base::ErrorKind::Unavailable) {
      mChargeRetry = false;
      return {};
    }
    bool tooLarge = body.size() > mCore.options.limits.maxResponseBytes;
    if (event == CallEvent::Failed || tooLarge) {
      call->cancel();
      return recoverOutcome(aEndpoint.dataAddress);
    }
    if (event == CallEvent::Timeout) {
      auto state = mCore.queryAgent(aEndpoint.dataAddress, "GET", mRunId);
      std::string runState = state ? base::stringOr(*state, "state") : "";
      if (isPastDeadline() || (runState != "running" && runState != "queued")) {
        mCore.metrics.silentConnections.add();
        call->cancel();
        return recoverOutcome(aEndpoint.dataAddress);
      }
    }
  }
}

CallResult ServiceSession::toCallResult(const net::ClientResponse& aHead, std::string aBody)
{
  CallResult result;
  auto ran = aHead.header(kRan);
  bool matchesAttempt = aHead.header(kRequestId) == mRunId;
  if (ran == "yes" && matchesAttempt) {
    result.serviceResponse =
      ServiceResponse{ aHead.status, aHead.header("Content-Type").value_or(""), std::move(aBody) };
    return result;
  }
  if (ran == "no") {
    mChargeRetry = !aHead.header(kClosed).has_value();
    result.overloaded = mChargeRetry;
    auto parsed = base::parseJson(aBody);
    auto retryAfter = base::Milliseconds(parsed ? base::intOr(*parsed, "retryAfterMs", 0) : 0);
    result.retryAfter = std::max<base::Duration>(retryAfter, base::Milliseconds(50));
    return result;
  }
  if (!matchesAttempt) {
    mCore.metrics.foreign.add();
  }
  result.ran = Ran::Unknown;
  result.message = "the call was sent and its answer was lost";
  return result;
}

/** True when the attempt never ran. An agent that started after the attempt cannot know, since the
 * previous agent process may have run it. */
bool ServiceSession::neverRan(const Json::Value& aState) const
{
  auto age = base::toMilliseconds(std::chrono::steady_clock::now() - mAttemptStarted);
  return base::stringOr(aState, "state") == "neverRan" &&
         base::intOr(aState, "knownForMs", 0) > age + 1;
}

/** Polls the agent for the outcome of an attempt whose response did not arrive. */
CallResult ServiceSession::recoverOutcome(const net::Address& aAgent)
{
  CallResult result;
  result.ran = Ran::Unknown;
  result.message = "the call was sent and its answer was lost";
  auto until = std::min<base::TimePoint>(mCaller.deadline,
                                         std::chrono::steady_clock::now() + kRecoveryTimeout);
  do {
    // DELETE makes the agent refuse the attempt if it arrives later; it does not stop an attempt
    // that is running.
    auto state = mCore.queryAgent(aAgent, "DELETE", mRunId);
    std::string runState = state ? base::stringOr(*state, "state") : "";
    if (runState == "refused" || (state && neverRan(*state))) {
      result.ran = Ran::No;
      result.message = "the call did not reach its service";
      return result;
    }
    if (runState == "done" && state->isMember("status")) {
      result.serviceResponse =
        ServiceResponse{ static_cast<int>(base::intOr(*state, "status", 500)),
                         base::stringOr(*state, "type"),
                         fromHex(base::stringOr(*state, "body")) };
      return result;
    }
    if (!runState.empty() && runState != "running" && runState != "queued") {
      return result;
    }
    std::this_thread::sleep_for(kRecoveryPollInterval);
  } while (std::chrono::steady_clock::now() < until);
  return result;
}

Refusal toRefusal(const CallResult& aResult)
{
  Refusal refusal = overloadRefusal(aResult.message, aResult.retryAfter);
  refusal.ran = aResult.ran;
  if (aResult.ran == Ran::Unknown) {
    refusal.status = 504;
    refusal.kind = "unknownOutcome";
    refusal.remedy = "ask for the outcome before repeating the call under another key";
  }
  return refusal;
}

net::HttpResponse toResponse(const ServiceResponse& aServiceResponse, const std::string& aRequestId)
{
  net::HttpResponse response;
  response.status = aServiceResponse.status;
  response.contentType =
    aServiceResponse.contentType.empty() ? "application/json" : aServiceResponse.contentType;
  response.body = aServiceResponse.body;
  response.headers = { { kRequestId, aRequestId }, { kRan, "yes" } };
  return response;
}

std::string outcomeState(const EntryCore& aCore, const Claim& aClaim)
{
  switch (aClaim.state) {
    case ClaimState::Absent:
      return "absent";
    case ClaimState::Done:
      return "done";
    case ClaimState::InProgress:
      return aCore.isAlive(aClaim.owner) ? "inProgress" : "unknown";
  }
  return "unknown";
}

/** Response when the key was already claimed. */
net::HttpResponse repeatResponse(EntryCore& aCore,
                                 const CallerRequest& aCaller,
                                 const std::string& aFingerprint,
                                 const std::string& aKey,
                                 const Claim& aClaim)
{
  if (aClaim.fingerprint != aFingerprint) {
    Refusal refusal{ 422,
                     Ran::No,
                     "invalid",
                     "the idempotency key was used for another call",
                     "use a new key for each call",
                     {} };
    return refuse(aCore, refusal, aCaller.requestId);
  }
  if (aClaim.state == ClaimState::Done && aClaim.responseKept) {
    auto response = toResponse(aClaim.serviceResponse, aCaller.requestId);
    response.headers.emplace_back("X-Replayed", "yes");
    return response;
  }
  bool done = aClaim.state == ClaimState::Done;
  std::string state = outcomeState(aCore, aClaim);
  Refusal refusal;
  refusal.status = 409;
  refusal.ran = done ? Ran::Yes : Ran::Unknown;
  refusal.kind = done ? "tooLarge" : state == "inProgress" ? "conflict" : "unknownOutcome";
  refusal.message = done ? "the call was answered, but its answer was too large to keep"
                    : state == "inProgress" ? "a call with this key is in progress"
                                            : "the outcome of the call with this key is not known";
  refusal.remedy = "GET /v1/outcomes/" + net::percentEncode(aCaller.workspace) + "/" +
                   net::percentEncode(aKey) + " tells the outcome";
  refusal.retryAfter = done ? base::Duration::zero() : kClaimRetryAfter;
  return refuse(aCore, refusal, aCaller.requestId);
}

net::HttpResponse respond(EntryCore& aCore,
                          ConcurrencySlot& aSlot,
                          const CallerRequest& aCaller,
                          const CallResult& aResult)
{
  if (aResult.overloaded) {
    aSlot.markOverloaded();
  }
  if (!aResult.serviceResponse) {
    return refuse(aCore, toRefusal(aResult), aCaller.requestId);
  }
  aSlot.markAnswered();
  aCore.metrics.answered.add();
  return toResponse(*aResult.serviceResponse, aCaller.requestId);
}

/** Claims the key, runs the call and stores its outcome. */
net::HttpResponse callWithClaim(EntryCore& aCore,
                                ConcurrencySlot& aSlot,
                                const net::HttpRequest& aRequest,
                                const CallerRequest& aCaller)
{
  std::string key = aRequest.header(kIdempotencyKey).value_or("");
  if (key.empty() || key.size() > kMaxKeyLength) {
    Refusal refusal{ 400,
                     Ran::No,
                     "invalid",
                     "Idempotency-Key is missing or too long",
                     "send a unique key of at most 200 characters; the call is not repeatable",
                     {} };
    return refuse(aCore, refusal, aCaller.requestId);
  }
  std::string target = encodeTarget(aRequest.pathParameters.at("path"), aRequest.query);
  std::string fingerprint = fingerprintOf(
    { aRequest.pathParameters.at("service"), aRequest.method, target, aRequest.body });
  auto timeout = std::min<base::Duration>(aCore.options.limits.claimTimeout,
                                          aCaller.deadline - std::chrono::steady_clock::now());
  auto claimed = aCore.claims.acquire(aCaller.workspace, key, fingerprint, timeout);
  if (!claimed) {
    auto refusal = overloadRefusal(claimed.error().message, std::chrono::seconds(1));
    return refuse(aCore, refusal, aCaller.requestId);
  }
  if (!claimed->acquired) {
    return repeatResponse(aCore, aCaller, fingerprint, key, claimed->claim);
  }
  CallResult result = ServiceSession(aCore, aRequest, aCaller, false).run();
  auto wait = aCore.options.limits.claimTimeout;
  if (result.serviceResponse) {
    aCore.claims.finish(aCaller.workspace, key, claimed->claim, *result.serviceResponse, wait);
  } else if (result.ran == Ran::No) {
    aCore.claims.release(aCaller.workspace, key, claimed->claim, wait);
  }
  return respond(aCore, aSlot, aCaller, result);
}

} // namespace

net::HttpResponse callService(const std::shared_ptr<EntryCore>& aCore,
                              const net::HttpRequest& aRequest)
{
  auto caller = aCore->accept(aRequest);
  if (!caller) {
    return refuse(*aCore, caller.error(), aRequest.header(kRequestId).value_or(""));
  }
  auto config = aCore->options.fleet->config();
  const auto* service =
    config->spec<resources::Service>("Service", aRequest.pathParameters.at("service"));
  if (service == nullptr) {
    Refusal refusal{ 404, Ran::No, "notFound", "no such service", "check its name", {} };
    return refuse(*aCore, refusal, caller->requestId);
  }
  if (!aCore->tryStart(caller->workspace)) {
    auto refusal = overloadRefusal("the workspace uses more than its share", kAvoidAfterFailure);
    refusal.status = 429;
    return refuse(*aCore, refusal, caller->requestId);
  }
  ConcurrencySlot slot(aCore, caller->workspace);
  if (!isRepeatable(*service, aRequest.method, aRequest.pathParameters.at("path"))) {
    return callWithClaim(*aCore, slot, aRequest, *caller);
  }
  auto result = ServiceSession(*aCore, aRequest, *caller, true).run();
  return respond(*aCore, slot, *caller, result);
}

net::HttpResponse outcome(const std::shared_ptr<EntryCore>& aCore, const net::HttpRequest& aRequest)
{
  auto claim = aCore->claims.lookUp(aRequest.pathParameters.at("workspace"),
                                    aRequest.pathParameters.at("key"));
  if (!claim) {
    return refuse(
      *aCore, overloadRefusal(claim.error().message, std::chrono::seconds(1)), std::string());
  }
  std::string state = outcomeState(*aCore, *claim);
  Json::Value value;
  value["state"] = state;
  value["ran"] = state == "done" ? "yes" : state == "absent" ? "no" : "unknown";
  if (claim->state == ClaimState::Done) {
    value["status"] = claim->serviceResponse.status;
    value["contentType"] = claim->serviceResponse.contentType;
    value["kept"] = claim->responseKept;
    value["bodyHex"] = toHex(claim->serviceResponse.body);
  }
  net::HttpResponse response;
  response.status = claim->state == ClaimState::Absent ? 404 : 200;
  response.body = base::writeJson(value);
  return response;
}

} // namespace boragepitch::gateway
