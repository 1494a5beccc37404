#include <thread>

#include "GenerateSession.h"
#include "base/Json.h"

namespace boragepitch::gateway {

namespace {

constexpr int64_t kMostTokens = 1 << 20;
constexpr int kDefaultTokens = 256;
/** Longest search for an endpoint to resume a cut stream on. */
constexpr base::Duration kResumeWindow = std::chrono::seconds(5);
constexpr base::Duration kResumePause = std::chrono::milliseconds(50);
/** Maximum cuts of one stream, even when each attempt made progress. Each resumption processes the
 * whole prompt again, which would overload a fleet that keeps cutting streams. */
constexpr int kMostCuts = 16;

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
    auto tokens = base::requireInt(*parsed, "max_tokens", 1, kMostTokens);
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

bool GenerateSession::mayTryAgain(AttemptEnd aEnd)
{
  if (late()) {
    return false;
  }
  if (aEnd == AttemptEnd::Cut) {
    // Not limited by the retry budget: giving up would waste the events the caller already has.
    return mCutsInVain < mCore->options.limits.maxAttempts && mCuts < kMostCuts;
  }
  if (mCutAt) {
    if (std::chrono::steady_clock::now() - *mCutAt > kResumeWindow) {
      return false;
    }
    std::this_thread::sleep_for(kResumePause);
    return true;
  }
  bool tried = mAttempts > 0 && !mExcluded.empty();
  return tried && mAttempts < mCore->options.limits.maxAttempts &&
         (!mChargeRetry || mCore->tryRetry());
}

Refusal GenerateSession::lastRefusal() const
{
  Refusal refusal =
    mRefusal.value_or(overloadRefusal("no endpoint serves the model now", kAvoidClosed));
  if (refusal.status == 422) {
    return refusal;
  }
  if (mMayHaveRun) {
    refusal.ran = Ran::Yes;
  }
  if (late()) {
    refusal.status = 504;
    refusal.message = "the deadline passed";
  }
  return refusal;
}

std::optional<Refusal> GenerateSession::untilFirstEvent()
{
  for (;;) {
    if (!mCore->table()->isDeclared(mModel)) {
      return Refusal{ 404, Ran::No, "notFound", "the model is not served", "check its name", {} };
    }
    size_t excluded = mExcluded.size();
    AttemptEnd end = attempt(nullptr);
    if (end == AttemptEnd::Done) {
      mCore->metrics.firstEvent.record(std::chrono::steady_clock::now() - mCaller.started);
      return std::nullopt;
    }
    bool noneLeft = end == AttemptEnd::NotRun && mExcluded.size() == excluded;
    if (end == AttemptEnd::Final || (noneLeft && !mCutAt) || !mayTryAgain(end)) {
      return lastRefusal();
    }
  }
}

void GenerateSession::succeed()
{
  mCore->metrics.answered.add();
  mStarted.answered();
}

net::StreamEnd GenerateSession::stream(net::StreamWriter& aWriter)
{
  bool open = mReady.empty() || aWriter.write(mReady);
  mReady.clear();
  AttemptEnd end = AttemptEnd::Done;
  if (!open) {
    end = AttemptEnd::CallerLeft;
  } else if (!mAssembler.isDone()) {
    std::string endpoint = mEndpoint->name;
    std::string instance = mEndpoint->instance;
    end = pump(&aWriter);
    if (end == AttemptEnd::Done) {
      mCore->hints.apply({ endpoint, instance, 0, mPrefix, false },
                         std::chrono::steady_clock::now());
    }
  }
  closeAttempt();
  while (end == AttemptEnd::Cut || end == AttemptEnd::NotRun) {
    if (!mayTryAgain(end)) {
      return giveUp(aWriter);
    }
    if (!aWriter.peerIsConnected()) {
      end = AttemptEnd::CallerLeft;
      break;
    }
    end = attempt(&aWriter);
    if (end != AttemptEnd::NotRun) {
      mCore->metrics.resumed.add();
    }
  }
  if (end == AttemptEnd::CallerLeft) {
    mCore->metrics.left.add();
    return net::StreamEnd::Abort;
  }
  if (end == AttemptEnd::Final) {
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
    auto refusal = overloadRefusal("the workspace uses more than its share", kAvoidLoaded);
    refusal.status = 429;
    return refuse(*aCore, refusal, caller->requestId);
  }
  std::string requestId = caller->requestId;
  auto session = std::make_shared<GenerateSession>(
    aCore, std::move(*caller), aRequest.pathParameters.at("model"));
  auto refusal = session->parse(aRequest.body);
  if (!refusal) {
    refusal = session->untilFirstEvent();
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
