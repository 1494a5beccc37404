#include <array>
#include <thread>

#include "AgentCore.h"
#include "base/Json.h"

namespace boragepitch::gateway {

namespace {

using routing::Suspicion;
using routing::Verdict;

/** Delays between crash checks after the engine broke off a request. A crashing engine still
 * answers with its old instance for a moment; without rechecks the crash would pass for a cut, and
 * a poison request would not become a suspect. */
constexpr std::array<base::Duration, 3> kCrashRechecks{ std::chrono::milliseconds(10),
                                                        std::chrono::milliseconds(40),
                                                        std::chrono::milliseconds(100) };
/** Interval at which the entry's connection is checked while the engine sends nothing. */
constexpr base::Duration kPeerPollInterval = std::chrono::milliseconds(250);

/** True for statuses with which an engine refuses a request that it has not started. */
bool isRefusal(int aStatus)
{
  return (aStatus >= 400 && aStatus < 500) || aStatus == 503;
}

/**
 * Relay of one generate request to the engine. Its destructor releases the admission slot and
 * records the end of the run, also when the entry disconnects before the body starts.
 */
class GenerateRelay
{
public:
  GenerateRelay(std::shared_ptr<AgentCore> aCore,
                AttemptHeaders aAttempt,
                std::shared_ptr<Run> aRun)
    : mCore(std::move(aCore))
    , mAttempt(std::move(aAttempt))
    , mRun(std::move(aRun))
    , mStartedAt(std::chrono::steady_clock::now())
  {
  }
  ~GenerateRelay() { finish(); }
  GenerateRelay(const GenerateRelay&) = delete;
  GenerateRelay& operator=(const GenerateRelay&) = delete;

  net::HttpResponse open(const net::HttpRequest& aRequest, const control::ServedModel& aServed);
  net::StreamEnd relay(net::StreamWriter& aWriter);

private:
  CallEvent awaitHead(std::string& aData);
  net::HttpResponse onMissingHead();
  net::HttpResponse relayErrorStatus();
  bool matchesAttempt(const control::ServedModel& aServed) const;
  net::HttpResponse unknownOutcomeResponse(std::string aMessage);
  void onBrokenConnection();
  void setState(RunState aState);
  /** Records the first new event of a request that was in flight at a crash. */
  void recordProgress();
  void cancelAtEngine();
  void finish();
  void awaitEngineEnd();

  std::shared_ptr<AgentCore> mCore;
  AttemptHeaders mAttempt;
  std::shared_ptr<Run> mRun;
  std::shared_ptr<UpstreamCall> mCall;
  std::string mInstance;
  std::string mTail; ///< Last bytes of the body, to detect the done event.
  base::TimePoint mStartedAt;
  bool mWasCold = false;
  bool mSent = false;
  bool mComplete = false;
  bool mFinished = false;
  bool mHasProgress = false; ///< The engine has sent an event that the caller did not have.
};

net::HttpResponse GenerateRelay::open(const net::HttpRequest& aRequest,
                                      const control::ServedModel& aServed)
{
  mInstance = mCore->engine()->instance;
  mWasCold = mCore->gate.isCold();
  if (mCore->gate.exceedsColdLimit() && !mCore->confirmWarm()) {
    setState(RunState::Refused);
    return mCore->refuse({ Verdict::Refused, "engine has become cold", {} });
  }
  mCore->metrics.started.add();
  mRun->state = RunState::Running;
  net::ClientRequest request;
  request.method = "POST";
  request.target = "/generate";
  request.body = aRequest.body;
  mSent = true;
  mCall = UpstreamCall::start(
    mCore->workers, mCore->pool.acquire(mCore->options.target), std::move(request));
  {
    std::lock_guard lock(mRun->mutex);
    mRun->call = mCall;
  }
  std::string ignored;
  if (awaitHead(ignored) != CallEvent::Head) {
    return onMissingHead();
  }
  mCore->metrics.firstByte.record(std::chrono::steady_clock::now() - mStartedAt);
  if (mCall->head().status != 200) {
    return relayErrorStatus();
  }
  if (!matchesAttempt(aServed)) {
    mCore->metrics.foreign.add();
    cancelAtEngine();
    onBrokenConnection();
    return unknownOutcomeResponse("engine answered with another manifest or instance");
  }
  net::HttpResponse response;
  response.contentType = "text/event-stream";
  response.headers = { { kRequestId, mAttempt.id },
                       { kAttempt, mAttempt.attempt },
                       { kManifest, aServed.manifest },
                       { kInstance, mInstance } };
  mCore->addLoadHeaders(response);
  return response;
}

CallEvent GenerateRelay::awaitHead(std::string& aData)
{
  auto limit = std::min<base::TimePoint>(mAttempt.admission.deadline,
                                         std::chrono::steady_clock::now() +
                                           mCore->options.limits.engineIdleTimeout);
  return mCall->next(aData, limit);
}

bool GenerateRelay::matchesAttempt(const control::ServedModel& aServed) const
{
  const net::ClientResponse& head = mCall->head();
  return head.header(kManifest) == aServed.manifest && head.header(kInstance) == mInstance;
}

net::HttpResponse GenerateRelay::unknownOutcomeResponse(std::string aMessage)
{
  Refusal refusal;
  refusal.status = 502;
  refusal.ran = Ran::Unknown;
  refusal.message = std::move(aMessage);
  refusal.retryAfter = base::Milliseconds(100);
  auto response = toResponse(refusal);
  std::lock_guard lock(mRun->mutex);
  if (!mRun->crashId.empty()) {
    response.headers.emplace_back(kCrash, mRun->crashId);
  }
  return response;
}

net::HttpResponse GenerateRelay::onMissingHead()
{
  if (mRun->cancelled) {
    cancelAtEngine();
    setState(RunState::Cancelled);
    return unknownOutcomeResponse("cancelled");
  }
  std::string ignored;
  bool failed = mCall->next(ignored, std::chrono::steady_clock::now()) == CallEvent::Failed;
  if (failed && mCall->error().kind == base::ErrorKind::Unavailable) {
    // Nothing was sent, so the request does not become a suspect even if the engine crashed.
    mSent = false;
    mCore->checkCrash(mInstance);
    setState(RunState::Refused);
    return mCore->refuse({ Verdict::Refused, "engine is not reachable", {} });
  }
  if (!failed) {
    cancelAtEngine();
  }
  onBrokenConnection();
  return unknownOutcomeResponse(failed ? "engine broke off" : "engine did not answer in time");
}

net::HttpResponse GenerateRelay::relayErrorStatus()
{
  net::HttpResponse response;
  response.status = mCall->head().status;
  std::string piece;
  while (mCall->next(piece, mAttempt.admission.deadline) == CallEvent::Data) {
    response.body += piece;
  }
  setState(RunState::Refused);
  response.headers.emplace_back(kRan, isRefusal(response.status) ? "no" : "unknown");
  if (auto retryAfter = mCall->head().header("Retry-After")) {
    response.headers.emplace_back("Retry-After", *retryAfter);
  }
  mCore->addLoadHeaders(response);
  return response;
}

/** Handles a lost connection or a stream that ended early. */
void GenerateRelay::onBrokenConnection()
{
  mCore->metrics.cut.add();
  std::string crash = mCore->checkCrash(mInstance);
  for (size_t i = 0; crash.empty() && i < kCrashRechecks.size(); ++i) {
    std::this_thread::sleep_for(kCrashRechecks[i]);
    crash = mCore->checkCrash(mInstance);
  }
  if (crash.empty()) {
    setState(RunState::Cut);
    return;
  }
  mCore->recordCrash(mAttempt.fingerprint, crash);
  {
    std::lock_guard lock(mRun->mutex);
    mRun->crashId = crash;
  }
  setState(RunState::Crashed);
}

net::StreamEnd GenerateRelay::relay(net::StreamWriter& aWriter)
{
  auto lastDataAt = std::chrono::steady_clock::now();
  std::string data;
  for (;;) {
    auto now = std::chrono::steady_clock::now();
    bool pastDeadline = now > mAttempt.admission.deadline;
    bool idle = now - lastDataAt > mCore->options.limits.engineIdleTimeout;
    if (pastDeadline || idle) {
      cancelAtEngine();
      setState(RunState::Cut);
      return net::StreamEnd::Abort;
    }
    CallEvent event = mCall->next(data, now + kPeerPollInterval);
    if (event == CallEvent::Data) {
      lastDataAt = now;
      mRun->bytes += data.size();
      mTail = (mTail + data).substr(std::max<size_t>(mTail.size() + data.size(), 256) - 256);
      if (aWriter.write(data)) {
        recordProgress();
        continue;
      }
    }
    if (event == CallEvent::End && mTail.find("event: done") != std::string::npos) {
      mComplete = true;
      setState(RunState::Done);
      mCore->recordCompletion(mAttempt.fingerprint);
      return net::StreamEnd::Complete;
    }
    bool disconnected =
      event == CallEvent::Data || (event == CallEvent::Timeout && !aWriter.peerIsConnected());
    if (disconnected || mRun->cancelled) {
      cancelAtEngine();
      setState(RunState::Cancelled);
      return net::StreamEnd::Abort;
    }
    if (event == CallEvent::Failed || event == CallEvent::End) {
      onBrokenConnection();
      return net::StreamEnd::Abort;
    }
  }
}

void GenerateRelay::recordProgress()
{
  if (mHasProgress || !mAttempt.admission.exclusive) {
    return;
  }
  // The engine resumes behind the events that the caller has, so any event is a new one.
  size_t event = mTail.find("id:");
  mHasProgress = event != std::string::npos && mTail.find("\n\n", event) != std::string::npos;
  if (mHasProgress) {
    mCore->recordProgress(mAttempt.fingerprint);
  }
}

void GenerateRelay::setState(RunState aState)
{
  mRun->state = aState;
}

void GenerateRelay::cancelAtEngine()
{
  mCall->cancel();
  auto timeout = mCore->options.limits.probeTimeout;
  net::HttpClient client(mCore->options.target,
                         { .connectTimeout = timeout, .readTimeout = timeout });
  client.send({ .method = "DELETE", .target = "/generate/" + net::percentEncode(mAttempt.id) });
}

/**
 * Waits until the engine has ended the request, so that the next one does not exceed the engine's
 * limit. After a complete response, a query on the same connection is enough for a cold engine,
 * since it handles requests of one connection in order.
 */
void GenerateRelay::awaitEngineEnd()
{
  net::ClientRequest query{ .target = "/generate/" + net::percentEncode(mAttempt.id) };
  if (mComplete) {
    auto client = mCall->takeClient();
    if (client && (!mWasCold || client->send(query))) {
      mCore->pool.release(std::move(client));
    }
    return;
  }
  constexpr base::Duration kMaxWait = std::chrono::seconds(5);
  constexpr base::Duration kSettleTime = std::chrono::milliseconds(20);
  auto until = std::chrono::steady_clock::now() + kMaxWait;
  auto timeout = mCore->options.limits.probeTimeout;
  while (std::chrono::steady_clock::now() < until) {
    net::HttpClient client(mCore->options.target,
                           { .connectTimeout = timeout, .readTimeout = timeout });
    auto response = client.send(query);
    auto body = response ? base::parseJson(response->body) : base::Result<Json::Value>();
    if (!response || !body || base::stringOr(*body, "state") != "running") {
      break;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  std::this_thread::sleep_for(kSettleTime);
}

void GenerateRelay::finish()
{
  if (mFinished) {
    return;
  }
  mFinished = true;
  auto duration = std::chrono::steady_clock::now() - mStartedAt;
  if (mRun->state == RunState::Running) {
    // The entry disconnected before the body started.
    cancelAtEngine();
    setState(RunState::Cancelled);
  }
  if (mSent && mRun->state != RunState::Crashed && mRun->state != RunState::Refused) {
    awaitEngineEnd();
  }
  {
    std::lock_guard lock(mRun->mutex);
    mRun->call = nullptr;
  }
  mCore->gate.leave(mAttempt.admission.id, mComplete ? duration : base::Duration::zero());
  mCore->runs.markEnded(mRun);
}

net::HttpResponse refusePoison()
{
  Refusal refusal;
  refusal.status = 422;
  refusal.ran = Ran::Yes;
  refusal.kind = "invalid";
  refusal.message = "the request was in flight at two engine crashes";
  refusal.remedy = "do not retry it; change the request";
  return toResponse(refusal);
}

net::HttpResponse refuseInvalid(const base::Error& aError)
{
  Refusal refusal;
  refusal.status = 400;
  refusal.kind = "invalid";
  refusal.message = aError.message;
  refusal.remedy = aError.remedy;
  return toResponse(refusal);
}

const control::ServedModel* findServed(const EngineState& aState, const std::string& aManifest)
{
  for (const control::ServedModel& served : aState.serving) {
    if (served.manifest == aManifest) {
      return &served;
    }
  }
  return nullptr;
}

} // namespace

net::HttpResponse runGenerate(const std::shared_ptr<AgentCore>& aCore,
                              const net::HttpRequest& aRequest)
{
  auto attempt = readAttempt(*aCore, aRequest);
  if (!attempt) {
    return refuseInvalid(attempt.error());
  }
  Suspicion suspicion = aCore->suspicion(attempt->fingerprint, attempt->crashId);
  if (suspicion == Suspicion::Poison) {
    return refusePoison();
  }
  attempt->admission.exclusive = suspicion == Suspicion::Suspect;
  std::string closed = aCore->closedReason();
  if (!closed.empty()) {
    aCore->metrics.refused.add();
    auto response = aCore->refuse({ Verdict::Refused, closed, {} });
    response.headers.emplace_back(kClosed, "1");
    return response;
  }
  auto run = aCore->runs.add(attempt->id, attempt->fingerprint, std::chrono::steady_clock::now());
  if (!run) {
    return aCore->refuse({ Verdict::Refused, "request id was used or cancelled before", {} });
  }
  auto refuse = [&](const routing::Decision& aDecision) {
    run->state = RunState::Refused;
    aCore->runs.markEnded(run);
    aCore->metrics.refused.add();
    return aCore->refuse(aDecision);
  };
  auto decision = aCore->gate.enter(attempt->admission, run->cancelled);
  if (decision.verdict != Verdict::Run) {
    return refuse(decision);
  }
  auto relay = std::make_shared<GenerateRelay>(aCore, *attempt, run);
  // Read after the queue wait, during which the engine may have switched versions.
  auto engine = aCore->engine();
  const control::ServedModel* served =
    findServed(*engine, aRequest.header(kManifest).value_or(std::string()));
  if (served == nullptr || run->cancelled) {
    run->state = RunState::Refused;
    auto response = aCore->refuse({ Verdict::Refused, "manifest is not served here", {} });
    response.headers.emplace_back(kClosed, "1");
    return response;
  }
  auto response = relay->open(aRequest, *served);
  if (run->state == RunState::Running) {
    response.stream = [relay](net::StreamWriter& aWriter) { return relay->relay(aWriter); };
  }
  return response;
}

} // namespace boragepitch::gateway
