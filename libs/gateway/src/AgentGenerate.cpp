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
constexpr base::Duration kSlice = std::chrono::milliseconds(250); ///< Poll interval of the peer.

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
    , mStarted(std::chrono::steady_clock::now())
  {
  }
  ~GenerateRelay() { settle(); }
  GenerateRelay(const GenerateRelay&) = delete;
  GenerateRelay& operator=(const GenerateRelay&) = delete;

  net::HttpResponse open(const net::HttpRequest& aRequest, const control::Served& aServed);
  net::StreamEnd relay(net::StreamWriter& aWriter);

private:
  Piece awaitHead(std::string& aData);
  net::HttpResponse failedHead();
  net::HttpResponse otherStatus();
  bool isOurs(const control::Served& aServed) const;
  net::HttpResponse lost(std::string aMessage);
  void brokenOff();
  void end(RunState aState);
  void cancelAtEngine();
  void settle();
  void awaitEngineEnd();

  std::shared_ptr<AgentCore> mCore;
  AttemptHeaders mAttempt;
  std::shared_ptr<Run> mRun;
  std::shared_ptr<UpstreamCall> mCall;
  std::string mInstance;
  std::string mTail; ///< Last bytes of the body, to detect the done event.
  base::TimePoint mStarted;
  bool mWasCold = false;
  bool mSent = false;
  bool mClean = false;
  bool mSettled = false;
};

net::HttpResponse GenerateRelay::open(const net::HttpRequest& aRequest,
                                      const control::Served& aServed)
{
  mInstance = mCore->engine()->instance;
  mWasCold = mCore->gate.isCold();
  if (mCore->gate.exceedsColdLimit() && !mCore->confirmWarm()) {
    end(RunState::Refused);
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
  if (awaitHead(ignored) != Piece::Head) {
    return failedHead();
  }
  mCore->metrics.firstByte.record(std::chrono::steady_clock::now() - mStarted);
  if (mCall->head().status != 200) {
    return otherStatus();
  }
  if (!isOurs(aServed)) {
    mCore->metrics.foreign.add();
    cancelAtEngine();
    brokenOff();
    return lost("engine answered with another manifest or instance");
  }
  net::HttpResponse response;
  response.contentType = "text/event-stream";
  response.headers = { { kRequestId, mAttempt.id },
                       { kAttempt, mAttempt.attempt },
                       { kManifest, aServed.manifest },
                       { kInstance, mInstance } };
  mCore->addLoad(response);
  return response;
}

Piece GenerateRelay::awaitHead(std::string& aData)
{
  auto limit = std::min<base::TimePoint>(mAttempt.admission.deadline,
                                         std::chrono::steady_clock::now() +
                                           mCore->options.limits.engineSilence);
  return mCall->next(aData, limit);
}

bool GenerateRelay::isOurs(const control::Served& aServed) const
{
  const net::ClientResponse& head = mCall->head();
  return head.header(kManifest) == aServed.manifest && head.header(kInstance) == mInstance;
}

net::HttpResponse GenerateRelay::lost(std::string aMessage)
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

net::HttpResponse GenerateRelay::failedHead()
{
  if (mRun->cancelled) {
    cancelAtEngine();
    end(RunState::Cancelled);
    return lost("cancelled");
  }
  std::string ignored;
  bool failed = mCall->next(ignored, std::chrono::steady_clock::now()) == Piece::Failed;
  if (failed && mCall->error().kind == base::ErrorKind::Unavailable) {
    // Nothing was sent, so the request does not become a suspect even if the engine crashed.
    mSent = false;
    mCore->checkCrash(mInstance);
    end(RunState::Refused);
    return mCore->refuse({ Verdict::Refused, "engine is not reachable", {} });
  }
  if (!failed) {
    cancelAtEngine();
  }
  brokenOff();
  return lost(failed ? "engine broke off" : "engine did not answer in time");
}

net::HttpResponse GenerateRelay::otherStatus()
{
  net::HttpResponse response;
  response.status = mCall->head().status;
  std::string piece;
  while (mCall->next(piece, mAttempt.admission.deadline) == Piece::Data) {
    response.body += piece;
  }
  end(RunState::Refused);
  response.headers.emplace_back(kRan, isRefusal(response.status) ? "no" : "unknown");
  if (auto retryAfter = mCall->head().header("Retry-After")) {
    response.headers.emplace_back("Retry-After", *retryAfter);
  }
  mCore->addLoad(response);
  return response;
}

/** Handles a lost connection or a stream that ended early. */
void GenerateRelay::brokenOff()
{
  mCore->metrics.cut.add();
  std::string crash = mCore->checkCrash(mInstance);
  for (size_t i = 0; crash.empty() && i < kCrashRechecks.size(); ++i) {
    std::this_thread::sleep_for(kCrashRechecks[i]);
    crash = mCore->checkCrash(mInstance);
  }
  if (crash.empty()) {
    end(RunState::Cut);
    return;
  }
  mCore->recordCrash(mAttempt.fingerprint, crash);
  {
    std::lock_guard lock(mRun->mutex);
    mRun->crashId = crash;
  }
  end(RunState::Crashed);
}

net::StreamEnd GenerateRelay::relay(net::StreamWriter& aWriter)
{
  auto silentSince = std::chrono::steady_clock::now();
  std::string data;
  for (;;) {
    auto now = std::chrono::steady_clock::now();
    bool late = now > mAttempt.admission.deadline;
    bool silent = now - silentSince > mCore->options.limits.engineSilence;
    if (late || silent) {
      cancelAtEngine();
      end(RunState::Cut);
      return net::StreamEnd::Abort;
    }
    Piece piece = mCall->next(data, now + kSlice);
    if (piece == Piece::Data) {
      silentSince = now;
      mRun->bytes += data.size();
      mTail = (mTail + data).substr(std::max<size_t>(mTail.size() + data.size(), 256) - 256);
      if (aWriter.write(data)) {
        continue;
      }
    }
    if (piece == Piece::End && mTail.find("event: done") != std::string::npos) {
      mClean = true;
      end(RunState::Done);
      mCore->recordCompletion(mAttempt.fingerprint);
      return net::StreamEnd::Complete;
    }
    bool gone = piece == Piece::Data || (piece == Piece::Timeout && !aWriter.peerIsConnected());
    if (gone || mRun->cancelled) {
      cancelAtEngine();
      end(RunState::Cancelled);
      return net::StreamEnd::Abort;
    }
    if (piece == Piece::Failed || piece == Piece::End) {
      brokenOff();
      return net::StreamEnd::Abort;
    }
  }
}

void GenerateRelay::end(RunState aState)
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
  if (mClean) {
    auto client = mCall->takeClient();
    if (client && (!mWasCold || client->send(query))) {
      mCore->pool.release(std::move(client));
    }
    return;
  }
  constexpr base::Duration kLongest = std::chrono::seconds(5);
  constexpr base::Duration kGrace = std::chrono::milliseconds(20);
  auto until = std::chrono::steady_clock::now() + kLongest;
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
  std::this_thread::sleep_for(kGrace);
}

void GenerateRelay::settle()
{
  if (mSettled) {
    return;
  }
  mSettled = true;
  auto took = std::chrono::steady_clock::now() - mStarted;
  if (mRun->state == RunState::Running) {
    // The entry disconnected before the body started.
    cancelAtEngine();
    end(RunState::Cancelled);
  }
  if (mSent && mRun->state != RunState::Crashed && mRun->state != RunState::Refused) {
    awaitEngineEnd();
  }
  {
    std::lock_guard lock(mRun->mutex);
    mRun->call = nullptr;
  }
  mCore->gate.leave(mAttempt.admission.id, mClean ? took : base::Duration::zero());
  mCore->runs.ended(mRun);
}

net::HttpResponse refuseFinally()
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

const control::Served* findServed(const EngineState& aState, const std::string& aManifest)
{
  for (const control::Served& served : aState.serving) {
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
    return refuseFinally();
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
    aCore->runs.ended(run);
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
  const control::Served* served =
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
