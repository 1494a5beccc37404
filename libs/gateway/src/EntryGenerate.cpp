#include <set>
#include <thread>

#include "EntryCore.h"
#include "base/Json.h"
#include "routing/StreamAssembler.h"

namespace boragepitch::gateway {

namespace {

using routing::StreamFault;

constexpr int64_t kMostTokens = 1 << 20;
constexpr int kDefaultTokens = 256;
constexpr base::Duration kAvoidClosed = std::chrono::seconds(1);
constexpr base::Duration kAvoidLoaded = std::chrono::milliseconds(100);
/** How long a stream that was cut looks for an endpoint to resume on. */
constexpr base::Duration kResumeWindow = std::chrono::seconds(5);
constexpr base::Duration kResumePause = std::chrono::milliseconds(50);
/**
 * Held back after a second crash, so that every entry knows the request as poison before its caller
 * can repeat it. News of a crash took up to 66 ms to reach all entries of a local fleet.
 */
constexpr base::Duration kPoisonNotice = std::chrono::milliseconds(250);
/** Probes without progress after which an engine counts as stalled. */
constexpr int kStalledProbes = 5;

Refusal poisonRefusal()
{
  return { 422,
           Ran::Yes,
           "invalid",
           "the request was in flight at two engine crashes",
           "do not retry it; change the request",
           {} };
}

/** How an attempt ended. */
enum class AttemptEnd
{
  Done,       ///< The caller has the whole stream.
  CallerLeft, ///< Nobody reads it any more.
  NotRun,     ///< Refused or not reached; another endpoint may take it.
  Final,      ///< Refused for good; see the refusal.
  Cut,        ///< May be resumed.
};

/** A generate request from its first attempt to its last event. */
class GenerateSession
{
public:
  GenerateSession(std::shared_ptr<EntryCore> aCore, CallerRequest aCaller, std::string aModel)
    : mCore(std::move(aCore))
    , mCaller(std::move(aCaller))
    , mModel(std::move(aModel))
    , mStarted(mCore, mCaller.workspace)
  {
  }
  ~GenerateSession() { closeAttempt(); }
  GenerateSession(const GenerateSession&) = delete;
  GenerateSession& operator=(const GenerateSession&) = delete;

  std::optional<Refusal> parse(const std::string& aBody);
  /** Tries endpoints until the first event is there. */
  std::optional<Refusal> untilFirstEvent();
  net::StreamEnd stream(net::StreamWriter& aWriter);

private:
  AttemptEnd attempt(net::StreamWriter* aWriter);
  bool chooseEndpoint();
  void startCall();
  std::string body() const;
  AttemptEnd pump(net::StreamWriter* aWriter);
  AttemptEnd onHead();
  AttemptEnd onRefusedHead();
  std::optional<AttemptEnd> onData(const std::string& aData, net::StreamWriter* aWriter);
  std::optional<AttemptEnd> onSilence(net::StreamWriter* aWriter);
  bool isDead();
  AttemptEnd onBroken();
  AttemptEnd broken();
  void noteCrash(const std::string& aCrashId);
  void closeAttempt();
  bool mayTryAgain(AttemptEnd aEnd);
  bool late() const { return std::chrono::steady_clock::now() >= mCaller.deadline; }
  void succeed();
  net::StreamEnd giveUp(net::StreamWriter& aWriter);
  Refusal lastRefusal() const;

  std::shared_ptr<EntryCore> mCore;
  CallerRequest mCaller;
  std::string mModel;
  StartedRequest mStarted;
  std::string mPrompt;
  int64_t mMaxTokens = 0;
  std::string mFingerprint;
  uint64_t mPrefix = 0;

  routing::StreamAssembler mAssembler;
  std::string mReady; ///< Whole events that the caller's stream has yet to send.
  std::vector<std::string> mExcluded;
  std::set<std::string> mCrashes;
  std::optional<Refusal> mRefusal;
  int mAttempts = 0;
  int mCuts = 0;
  bool mMayHaveRun = false;
  /** False after attempts that cost the fleet nothing: unreachable endpoints and those that are
   * switching versions or leaving. */
  bool mChargeRetry = true;
  std::optional<base::TimePoint> mCutAt;

  // The attempt under way.
  std::shared_ptr<const routing::EndpointInfo> mEndpoint;
  std::shared_ptr<UpstreamCall> mCall;
  std::string mRunId;
  std::string mManifest;
  uint64_t mReceived = 0;
  uint64_t mReceivedAtProbe = 0;
  int mProbes = 0;
  bool mHeadSeen = false;
  bool mCallEnded = false;
};

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

std::string GenerateSession::body() const
{
  Json::Value value;
  value["requestId"] = mRunId;
  value["model"] = mModel;
  value["prompt"] = mPrompt;
  value["maxTokens"] = Json::Int64(mMaxTokens);
  value["priority"] = mCaller.priority;
  value["resumeFrom"] = Json::UInt64(mAssembler.nextEvent());
  return base::writeJson(value);
}

bool GenerateSession::chooseEndpoint()
{
  routing::ChoiceRequest request;
  request.model = mModel;
  request.manifest = mAssembler.manifest();
  request.prefix = mPrefix;
  request.excluded = mExcluded;
  mEndpoint = mCore->choose(request);
  if (!mEndpoint && mCutAt) {
    // After a cut the endpoint that cut it may be the only one that can go on.
    mExcluded.clear();
    request.excluded = {};
    mEndpoint = mCore->choose(request);
  }
  return mEndpoint != nullptr;
}

void GenerateSession::startCall()
{
  ++mAttempts;
  mRunId = mCaller.runId + "." + std::to_string(mAttempts);
  mManifest = mEndpoint->served(mModel)->manifest;
  mReceived = mReceivedAtProbe = 0;
  mProbes = 0;
  mHeadSeen = mCallEnded = false;
  auto left = mCaller.deadline - std::chrono::steady_clock::now();
  net::ClientRequest request;
  request.method = "POST";
  request.target = "/run/generate";
  request.headers = { { kRequestId, mRunId },
                      { kAttempt, std::to_string(mAttempts) },
                      { kManifest, mManifest },
                      { kRevision, std::to_string(mCore->table()->revision()) },
                      { kFingerprint, mFingerprint },
                      { kPriority, std::to_string(mCaller.priority) },
                      { kDeadline, std::to_string(std::max(1LL, base::toMilliseconds(left))) },
                      { kWorkspace, mCaller.workspace } };
  if (!mCrashes.empty()) {
    request.headers.emplace(kSuspect, *mCrashes.begin());
  }
  request.body = body();
  mCall =
    UpstreamCall::start(mCore->workers, mCore->pool.acquire(mEndpoint->data), std::move(request));
}

void GenerateSession::closeAttempt()
{
  if (mCall) {
    if (mCallEnded) {
      if (auto client = mCall->takeClient()) {
        mCore->pool.release(std::move(client));
      }
    } else {
      mCall->cancel();
      mCore->cancelLater(mEndpoint->data, mRunId);
    }
    mCall = nullptr;
  }
  if (mEndpoint) {
    mCore->done(*mEndpoint);
    mEndpoint = nullptr;
  }
}

AttemptEnd GenerateSession::attempt(net::StreamWriter* aWriter)
{
  if (!chooseEndpoint()) {
    return AttemptEnd::NotRun;
  }
  startCall();
  AttemptEnd end = pump(aWriter);
  // Without a writer the attempt goes on in the caller's stream once an event is there.
  bool goesOn = end == AttemptEnd::Done && !mAssembler.isDone();
  if (!goesOn) {
    closeAttempt();
  }
  return end;
}

/** Moves pieces until the attempt ends; without a writer, until whole events are there. */
AttemptEnd GenerateSession::pump(net::StreamWriter* aWriter)
{
  std::string data;
  for (;;) {
    auto now = std::chrono::steady_clock::now();
    if (now >= mCaller.deadline) {
      return AttemptEnd::Cut;
    }
    auto until =
      std::min<base::TimePoint>(mCaller.deadline, now + mCore->options.limits.progressTimeout);
    Piece piece = mCall->next(data, until);
    std::optional<AttemptEnd> end;
    if (piece == Piece::Head) {
      AttemptEnd head = onHead();
      end = head == AttemptEnd::Done ? std::nullopt : std::optional(head);
    } else if (piece == Piece::Data) {
      end = onData(data, aWriter);
    } else if (piece == Piece::Timeout) {
      end = onSilence(aWriter);
    } else {
      return onBroken();
    }
    if (end) {
      return *end;
    }
  }
}

AttemptEnd GenerateSession::onHead()
{
  const net::ClientResponse& head = mCall->head();
  mHeadSeen = true;
  mCore->noteLoad(*mEndpoint, head);
  if (head.status != 200) {
    return onRefusedHead();
  }
  auto fault = mAssembler.beginAttempt(mRunId,
                                       head.header(kRequestId).value_or(""),
                                       std::to_string(mAttempts),
                                       head.header(kAttempt).value_or(""),
                                       head.header(kManifest).value_or(""));
  if (fault != StreamFault::None || head.header(kManifest) != mManifest) {
    mCore->metrics.foreign.add();
    return broken();
  }
  return AttemptEnd::Done;
}

AttemptEnd GenerateSession::onRefusedHead()
{
  const net::ClientResponse& head = mCall->head();
  // The rest of the response is read, so that the connection can be used again.
  std::string body;
  std::string data;
  auto until = std::chrono::steady_clock::now() + mCore->options.limits.probeTimeout;
  Piece piece = mCall->next(data, until);
  for (; piece == Piece::Data; piece = mCall->next(data, until)) {
    body += data;
  }
  mCallEnded = piece == Piece::End;
  if (head.status == 422) {
    mRefusal = poisonRefusal();
    return AttemptEnd::Final;
  }
  if (head.header(kRan) != "no") {
    noteCrash(head.header(kCrash).value_or(""));
    return broken();
  }
  bool closed = head.header(kClosed).has_value();
  auto parsed = base::parseJson(body);
  auto retryAfter = base::Milliseconds(parsed ? base::intOr(*parsed, "retryAfterMs", 0) : 0);
  mRefusal = overloadRefusal("no endpoint takes the request now",
                             std::max<base::Duration>(retryAfter, kAvoidLoaded));
  mChargeRetry = !closed;
  if (!closed) {
    mStarted.overloaded();
  }
  mCore->avoid(*mEndpoint, closed ? kAvoidClosed : kAvoidLoaded);
  mExcluded.push_back(mEndpoint->name);
  return AttemptEnd::NotRun;
}

std::optional<AttemptEnd> GenerateSession::onData(const std::string& aData,
                                                  net::StreamWriter* aWriter)
{
  mReceived += aData.size();
  mProbes = 0;
  auto fault = mAssembler.feed(aData, [&](std::string_view aEvent) {
    mReady += aEvent;
    return true;
  });
  if (aWriter != nullptr && !mReady.empty()) {
    // Whole events of one piece go out in one write.
    bool written = aWriter->write(mReady);
    mReady.clear();
    if (!written) {
      return AttemptEnd::CallerLeft;
    }
  }
  if (fault != StreamFault::None) {
    mCore->metrics.foreign.add();
    return broken();
  }
  if (mAssembler.isDone()) {
    std::string rest;
    auto until = std::chrono::steady_clock::now() + base::Milliseconds(50);
    mCallEnded = mCall->next(rest, until) == Piece::End;
    return AttemptEnd::Done;
  }
  return aWriter == nullptr && !mReady.empty() ? std::optional(AttemptEnd::Done) : std::nullopt;
}

std::optional<AttemptEnd> GenerateSession::onSilence(net::StreamWriter* aWriter)
{
  if (aWriter != nullptr && !aWriter->peerIsConnected()) {
    return AttemptEnd::CallerLeft;
  }
  if (late() || !isDead()) {
    return late() ? std::optional(AttemptEnd::Cut) : std::nullopt;
  }
  mCore->metrics.silent.add();
  return broken();
}

/** Asks the agent on a new connection whether the silent one should have brought something. */
bool GenerateSession::isDead()
{
  bool samePlace = mProbes > 0 && mReceivedAtProbe == mReceived;
  mReceivedAtProbe = mReceived;
  auto answer = mCore->askAgent(mEndpoint->data, "GET", mRunId);
  if (!answer) {
    return true;
  }
  std::string state = base::stringOr(*answer, "state");
  auto sent = static_cast<uint64_t>(std::max<int64_t>(0, base::intOr(*answer, "bytes", 0)));
  if (state == "queued") {
    return false;
  }
  ++mProbes;
  if (state == "running" && sent <= mReceived) {
    return samePlace && mProbes >= kStalledProbes;
  }
  // Bytes may have arrived while the probe was under way; silence at the next probe decides.
  return samePlace;
}

AttemptEnd GenerateSession::onBroken()
{
  mCallEnded = true;
  std::string ignored;
  bool unsent = !mHeadSeen && mCall->next(ignored, {}) == Piece::Failed &&
                mCall->error().kind == base::ErrorKind::Unavailable;
  if (unsent) {
    mChargeRetry = false;
    mCore->avoid(*mEndpoint, kAvoidClosed);
    mExcluded.push_back(mEndpoint->name);
    return AttemptEnd::NotRun;
  }
  auto answer = mCore->askAgent(mEndpoint->data, "DELETE", mRunId);
  if (answer) {
    noteCrash(base::stringOr(*answer, "crashId"));
  }
  return broken();
}

/** Common end of attempts that cannot be used further. */
AttemptEnd GenerateSession::broken()
{
  mMayHaveRun = true;
  mCore->avoid(*mEndpoint, kAvoidLoaded);
  mExcluded.push_back(mEndpoint->name);
  mCutAt = std::chrono::steady_clock::now();
  ++mCuts;
  if (mCrashes.size() >= 2) {
    mRefusal = poisonRefusal();
    std::this_thread::sleep_for(kPoisonNotice);
    return AttemptEnd::Final;
  }
  return AttemptEnd::Cut;
}

void GenerateSession::noteCrash(const std::string& aCrashId)
{
  if (!aCrashId.empty()) {
    mCrashes.insert(aCrashId);
  }
}

bool GenerateSession::mayTryAgain(AttemptEnd aEnd)
{
  if (late()) {
    return false;
  }
  if (aEnd == AttemptEnd::Cut) {
    // Not charged to the retry budget: what the caller already has would be lost.
    return mCuts < mCore->options.limits.maxAttempts;
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

} // namespace

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
