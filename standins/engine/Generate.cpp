#include <algorithm>
#include <thread>

#include "base/Json.h"
#include "common/Program.h"
#include "common/TokenFunction.h"
#include "engine/Endpoint.h"

namespace boragepitch::standin {

namespace {

constexpr size_t kMaxFinished = 4096;
constexpr int64_t kMaxTokens = 1'000'000;
/** How often a pause checks for cancellation, death and stalls. */
constexpr base::Milliseconds kCheckInterval{ 20 };
/** A prompt with this text crashes the engine. */
constexpr const char* kCrashText = "CRASH";

/** Runs a function when the last copy of the response that owns it is destroyed. */
class OnRelease
{
public:
  explicit OnRelease(std::function<void()> aAction)
    : mAction(std::move(aAction))
  {
  }
  ~OnRelease() { mAction(); }
  OnRelease(const OnRelease&) = delete;
  OnRelease& operator=(const OnRelease&) = delete;

private:
  std::function<void()> mAction;
};

std::string doneEvent(int64_t aTokens, const std::string& aVersion)
{
  Json::Value data;
  data["tokens"] = Json::Int64(aTokens);
  data["version"] = aVersion;
  return "event: done\ndata: " + base::writeJson(data) + "\n\n";
}

std::string tokenEvent(int64_t aIndex, const std::string& aToken)
{
  return "id: " + std::to_string(aIndex) + "\ndata: {\"token\":\"" + aToken + "\"}\n\n";
}

} // namespace

net::HttpResponse Endpoint::generate(const net::HttpRequest& aRequest)
{
  auto body = base::parseJson(aRequest.body);
  if (!body || !body->isObject()) {
    return errorResponse(400, "invalid", "the body must be a JSON object");
  }
  auto maxTokens = base::requireInt(*body, "maxTokens", 0, kMaxTokens);
  if (!maxTokens) {
    return errorResponse(400, "invalid", maxTokens.error().describe());
  }
  Generation generation{ .requestId = base::stringOr(*body, "requestId"),
                         .model = base::stringOr(*body, "model"),
                         .prompt = base::stringOr(*body, "prompt"),
                         .maxTokens = *maxTokens,
                         .resumeFrom = std::max<int64_t>(0, base::intOr(*body, "resumeFrom", 0)),
                         .priority = int(base::intOr(*body, "priority", 0)) };
  size_t inFlight = ++mInFlight;
  auto release = std::make_shared<OnRelease>([self = shared_from_this()] { --self->mInFlight; });
  if (isCold() && inFlight > mOptions.coldLimit) {
    die();
    return lostResponse();
  }
  auto loaded = loadedModel(generation.model);
  if (!loaded) {
    return errorResponse(404, "notFound", "model is not loaded");
  }
  if (generation.prompt.find(kCrashText) != std::string::npos) {
    die();
    return lostResponse();
  }
  if (inFlight > mOptions.capacity + mOptions.maxWaiting) {
    return errorResponse(503, "unavailable", "too many requests", 1000);
  }
  generation.cutAt = drawCut(generation);
  auto run = beginRun(generation.requestId);
  net::HttpResponse response;
  response.contentType = "text/event-stream";
  response.headers = { { "X-Manifest", loaded->manifest }, { "X-Instance", mInstance } };
  response.stream = [self = shared_from_this(), generation, run, release](auto& aWriter) {
    return self->runStream(generation, run, aWriter);
  };
  return response;
}

std::shared_ptr<const Endpoint::Loaded> Endpoint::loadedModel(const std::string& aModel) const
{
  std::lock_guard lock(mMutex);
  auto found = mLoaded.find(aModel);
  return found == mLoaded.end() ? nullptr : found->second;
}

std::shared_ptr<Endpoint::Run> Endpoint::beginRun(const std::string& aRequestId)
{
  auto run = std::make_shared<Run>();
  std::lock_guard lock(mMutex);
  std::shared_ptr<Run>& slot = mRuns[aRequestId];
  if (slot) {
    // A resumed request replaces its earlier stream, whose reader has disconnected.
    slot->cancelled = true;
  }
  slot = run;
  return run;
}

void Endpoint::endRun(const std::string& aRequestId, const std::shared_ptr<Run>& aRun)
{
  std::lock_guard lock(mMutex);
  if (auto found = mRuns.find(aRequestId); found != mRuns.end() && found->second == aRun) {
    mRuns.erase(found);
  }
  if (!aRun->done) {
    return;
  }
  mFinished.emplace_back(aRequestId, aRun);
  if (mFinished.size() > kMaxFinished) {
    mFinished.pop_front();
  }
}

net::StreamEnd Endpoint::runStream(const Generation& aGeneration,
                                   const std::shared_ptr<Run>& aRun,
                                   net::StreamWriter& aWriter)
{
  auto wanted = [&] { return !mDead && !aRun->cancelled && aWriter.peerIsConnected(); };
  net::StreamEnd end = net::StreamEnd::Abort;
  if (mScheduler.enter(aGeneration.priority, wanted)) {
    end = emitTokens(aGeneration, *aRun, aWriter);
    mScheduler.leave();
  }
  endRun(aGeneration.requestId, aRun);
  return end;
}

net::StreamEnd Endpoint::emitTokens(const Generation& aGeneration,
                                    Run& aRun,
                                    net::StreamWriter& aWriter)
{
  size_t missed = mCache.use(aGeneration.model, aGeneration.prompt);
  auto due = std::chrono::steady_clock::now() +
             std::chrono::microseconds(int64_t(missed * mOptions.prefillBlockMs * 1000));
  std::string version;
  for (int64_t i = aGeneration.resumeFrom; i < aGeneration.maxTokens; ++i) {
    due = std::max(due + tokenInterval(), std::chrono::steady_clock::now());
    if (!pauseUntil(due, aRun) || i == aGeneration.cutAt) {
      return net::StreamEnd::Abort;
    }
    // Read for each token, so that a load during a running stream produces mixed tokens.
    auto loaded = loadedModel(aGeneration.model);
    if (!loaded || !aWriter.write(tokenEvent(i, tokenAt(loaded->sha256, aGeneration.prompt, i)))) {
      return net::StreamEnd::Abort;
    }
    version = loaded->version;
    aRun.tokens = i + 1;
  }
  // Set before the event is written: a caller that lost it must not be told "unknown".
  aRun.done = true;
  return aWriter.write(doneEvent(aGeneration.maxTokens, version)) ? net::StreamEnd::Complete
                                                                  : net::StreamEnd::Abort;
}

bool Endpoint::pauseUntil(base::TimePoint aDue, const Run& aRun) const
{
  for (;;) {
    if (mDead || aRun.cancelled) {
      return false;
    }
    auto now = std::chrono::steady_clock::now();
    bool stalled = nowMs() < mFaults->stallUntilMs;
    if (now >= aDue && !stalled) {
      return true;
    }
    auto until = now + kCheckInterval;
    std::this_thread::sleep_until(stalled ? until : std::min(aDue, until));
  }
}

base::Duration Endpoint::tokenInterval() const
{
  double others = double(mScheduler.running()) - 1;
  double fill = mOptions.capacity > 1 ? others / double(mOptions.capacity - 1) : 0;
  double ms = mOptions.tokenMs * (1 + mOptions.batchSlope * std::max(0.0, fill));
  return std::chrono::microseconds(int64_t(ms * 1000));
}

int64_t Endpoint::drawCut(const Generation& aGeneration)
{
  int64_t left = mFaults->cutStreams;
  while (left > 0 && !mFaults->cutStreams.compare_exchange_weak(left, left - 1)) {
  }
  return left > 0 ? (aGeneration.resumeFrom + aGeneration.maxTokens) / 2 : -1;
}

net::HttpResponse Endpoint::cancel(const net::HttpRequest& aRequest)
{
  std::lock_guard lock(mMutex);
  auto found = mRuns.find(aRequest.pathParameters.at("id"));
  if (found == mRuns.end()) {
    return errorResponse(404, "notFound", "no such request");
  }
  found->second->cancelled = true;
  return jsonResponse(Json::objectValue);
}

net::HttpResponse Endpoint::outcome(const net::HttpRequest& aRequest)
{
  const std::string& id = aRequest.pathParameters.at("id");
  Json::Value body;
  body["state"] = "unknown";
  std::lock_guard lock(mMutex);
  if (auto found = mRuns.find(id); found != mRuns.end()) {
    body["state"] = found->second->done ? "done" : "running";
    body["tokens"] = Json::Int64(found->second->tokens);
    return jsonResponse(body);
  }
  for (const auto& [finishedId, run] : mFinished) {
    if (finishedId == id) {
      body["state"] = "done";
      body["tokens"] = Json::Int64(run->tokens);
    }
  }
  return jsonResponse(body);
}

} // namespace boragepitch::standin
