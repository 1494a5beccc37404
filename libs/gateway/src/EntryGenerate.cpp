#include <thread>

#include "GenerateSession.h"
#include "base/Json.h"

namespace boragepitch::gateway {

namespace {

constexpr int64_t kMaxTokens = 1 << 20;
constexpr int kDefaultTokens = 256;
/** Longest search for an endpoint to resume a cut stream on. */
constexpr base::Duration kResumeWindow = std::chrono::seconds(5);
constexpr base::Duration kResumeRetryDelay = std::chrono::milliseconds(50);
/** Maximum cuts of one stream, even when each attempt made progress. Each resumption processes the
 * whole prompt again, which would overload a fleet that keeps cutting streams. */
constexpr int kMaxCuts = 16;

} // namespace

std::optional<Refusal> GenerateSession::parse(const std::string& aBody)
{
  auto invalid = [](const base::Error& aError) {
    return Refusal{ 400, Ran::No, "invalid", aError.describe(), aError.remedy, {} };
  };
  auto parsed = base::parseJson(aBody);
  if (!parsed) {
    return invalid(parsed.error());
  }
  auto prompt = base::requireString(*parsed, "prompt");
  if (!prompt) {
    return invalid(prompt.error());
  }
  mMaxTokens = kDefaultTokens;
  if (parsed->isMember("max_tokens")) {
    auto tokens = base::requireInt(*parsed, "max_tokens", 1, kMaxTokens);
    if (!tokens) {
      return invalid(tokens.error());
    }
    mMaxTokens = *tokens;
  }
  mPrompt = std::move(*prompt);
  mFingerprint = fingerprintOf({ mCaller.workspace, mModel, aBody });
  mPrefix = routing::prefixHash(mModel, mPrompt);
  if (mCore->suspicion(mFingerprint) == routing::Suspicion::Poison) {
    return poisonRefusal();
  }
  return std::nullopt;
}

bool GenerateSession::mayRetry(AttemptResult aResult)
{
  if (isPastDeadline()) {
    return false;
  }
  if (aResult == AttemptResult::Cut) {
    // Not limited by the retry budget: giving up would waste the events the caller already has.
    return mCutsWithoutProgress < mCore->options.limits.maxAttempts && mCuts < kMaxCuts;
  }
  if (mLastCutAt) {
    if (std::chrono::steady_clock::now() - *mLastCutAt > kResumeWindow) {
      return false;
    }
    std::this_thread::sleep_for(kResumeRetryDelay);
    return true;
  }
  bool tried = mAttempts > 0 && !mExcluded.empty();
  return tried && mAttempts < mCore->options.limits.maxAttempts &&
         (!mChargeRetry || mCore->tryRetry());
}

Refusal GenerateSession::lastRefusal() const
{
  Refusal refusal =
    mRefusal.value_or(overloadRefusal("no endpoint serves the model now", kAvoidAfterClosed));
  if (refusal.status == 422) {
    return refusal;
  }
  if (mMayHaveRun) {
    refusal.ran = Ran::Yes;
  }
  if (isPastDeadline()) {
    refusal.status = 504;
    refusal.message = "the deadline passed";
  }
  return refusal;
}

std::optional<Refusal> GenerateSession::awaitFirstEvent()
{
  for (;;) {
    if (!mCore->table()->isDeclared(mModel)) {
      return Refusal{ 404, Ran::No, "notFound", "the model is not served", "check its name", {} };
    }
    size_t excluded = mExcluded.size();
    AttemptResult result = attempt(nullptr);
    if (result == AttemptResult::Done) {
      mCore->metrics.firstEvent.record(std::chrono::steady_clock::now() - mCaller.arrivedAt);
      return std::nullopt;
    }
    bool noneLeft = result == AttemptResult::NotRun && mExcluded.size() == excluded;
    if (result == AttemptResult::Rejected || (noneLeft && !mLastCutAt) || !mayRetry(result)) {
      return lastRefusal();
    }
  }
}

void GenerateSession::succeed()
{
  mCore->metrics.answered.add();
  mSlot.markAnswered();
}

net::StreamEnd GenerateSession::stream(net::StreamWriter& aWriter)
{
  bool open = mUnsentEvents.empty() || aWriter.write(mUnsentEvents);
  mUnsentEvents.clear();
  AttemptResult result = AttemptResult::Done;
  if (!open) {
    result = AttemptResult::CallerLeft;
  } else if (!mAssembler.isDone()) {
    std::string endpoint = mEndpoint->name;
    std::string instance = mEndpoint->instance;
    result = relayEvents(&aWriter);
    if (result == AttemptResult::Done) {
      mCore->hints.apply({ endpoint, instance, 0, mPrefix, false },
                         std::chrono::steady_clock::now());
    }
  }
  closeAttempt();
  while (result == AttemptResult::Cut || result == AttemptResult::NotRun) {
    if (!mayRetry(result)) {
      return giveUp(aWriter);
    }
    if (!aWriter.peerIsConnected()) {
      result = AttemptResult::CallerLeft;
      break;
    }
    result = attempt(&aWriter);
    if (result != AttemptResult::NotRun) {
      mCore->metrics.resumed.add();
    }
  }
  if (result == AttemptResult::CallerLeft) {
    mCore->metrics.callersLeft.add();
    return net::StreamEnd::Abort;
  }
  if (result == AttemptResult::Rejected) {
    return giveUp(aWriter);
  }
  succeed();
  return net::StreamEnd::Complete;
}

net::StreamEnd GenerateSession::giveUp(net::StreamWriter& aWriter)
{
  mCore->metrics.cut.add();
  mMayHaveRun = true;
  aWriter.write("event: error\ndata: " + refusalBody(lastRefusal()) + "\n\n");
  return net::StreamEnd::Complete;
}

net::HttpResponse generate(const std::shared_ptr<EntryCore>& aCore,
                           const net::HttpRequest& aRequest)
{
  auto caller = aCore->accept(aRequest);
  if (!caller) {
    return refuse(*aCore, caller.error(), aRequest.header(kRequestId).value_or(""));
  }
  if (!aCore->tryStart(caller->workspace)) {
    auto refusal = overloadRefusal("the workspace uses more than its share", kAvoidAfterOverload);
    refusal.status = 429;
    return refuse(*aCore, refusal, caller->requestId);
  }
  std::string requestId = caller->requestId;
  auto session = std::make_shared<GenerateSession>(
    aCore, std::move(*caller), aRequest.pathParameters.at("model"));
  auto refusal = session->parse(aRequest.body);
  if (!refusal) {
    refusal = session->awaitFirstEvent();
  }
  if (refusal) {
    return refuse(*aCore, *refusal, requestId);
  }
  net::HttpResponse response;
  response.contentType = "text/event-stream";
  response.headers = { { kRequestId, requestId }, { kRan, "yes" } };
  response.stream = [session](net::StreamWriter& aWriter) { return session->stream(aWriter); };
  return response;
}

} // namespace boragepitch::gateway
