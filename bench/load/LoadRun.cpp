#include "load/LoadRun.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>

#include "base/Json.h"

namespace boragepitch::load {

namespace {

constexpr int kPriorities = 10;

base::Duration fromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(aSeconds));
}

double toSeconds(base::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

double toMs(double aSeconds)
{
  return std::round(aSeconds * 1e6) / 1e3;
}

std::string makePrompt(const LoadOptions& aOptions, uint64_t aNumber, base::Rng& aRng)
{
  auto group = base::uniformBelow<size_t>(aRng, std::max<size_t>(1, aOptions.prefixGroups));
  std::string prompt = "group " + std::to_string(group) + " ";
  prompt.resize(std::max(prompt.size(), aOptions.prefixBytes), 'p');
  prompt += " request " + std::to_string(aOptions.seed) + "." + std::to_string(aNumber) + " ";
  prompt.resize(std::max(prompt.size(), aOptions.promptBytes), 'q');
  return prompt;
}

Json::Value quantiles(const telemetry::LatencyHistogram& aHistogram)
{
  Json::Value result;
  result["count"] = Json::UInt64(aHistogram.count());
  result["p50Ms"] = toMs(aHistogram.quantileSeconds(0.5));
  result["p95Ms"] = toMs(aHistogram.quantileSeconds(0.95));
  result["p99Ms"] = toMs(aHistogram.quantileSeconds(0.99));
  return result;
}

} // namespace

std::vector<PlannedRequest> planRequests(const LoadOptions& aOptions)
{
  base::Rng rng(aOptions.seed);
  std::exponential_distribution<double> gap(aOptions.requestsPerSecond);
  std::uniform_int_distribution<int64_t> tokens(aOptions.minTokens, aOptions.maxTokens);
  std::vector<double> weights;
  for (const WorkspaceLoad& workspace : aOptions.workspaces) {
    weights.push_back(workspace.weight);
  }
  std::discrete_distribution<size_t> workspace(weights.begin(), weights.end());
  std::vector<PlannedRequest> plan;
  for (double at = gap(rng); at < aOptions.durationSeconds; at += gap(rng)) {
    PlannedRequest request;
    request.number = plan.size();
    request.arrival = fromSeconds(at);
    request.workspace = workspace(rng);
    request.entry = base::uniformBelow<size_t>(rng, aOptions.entries.size());
    request.tokens = tokens(rng);
    request.priority = base::uniformBelow<int>(rng, kPriorities);
    request.prompt = makePrompt(aOptions, request.number, rng);
    plan.push_back(std::move(request));
  }
  return plan;
}

LoadRun::LoadRun(LoadOptions aOptions)
  : mOptions(std::move(aOptions))
  , mByWorkspace(mOptions.workspaces.size())
{
}

Json::Value LoadRun::run()
{
  auto plan = planRequests(mOptions);
  mStart = std::chrono::steady_clock::now();
  dispatch(plan);
  {
    std::lock_guard lock(mMutex);
    mEnding = true;
  }
  mWake.notify_all();
  for (std::thread& thread : mThreads) {
    thread.join();
  }
  if (!mOptions.logPath.empty()) {
    std::ofstream log(mOptions.logPath);
    log << "number,arrival_s,total_ms,workspace,priority,outcome,instance\n";
    for (const std::string& line : mLog) {
      log << line << '\n';
    }
  }
  return summary(toSeconds(std::chrono::steady_clock::now() - mStart));
}

void LoadRun::dispatch(const std::vector<PlannedRequest>& aPlan)
{
  for (const PlannedRequest& request : aPlan) {
    std::this_thread::sleep_until(mStart + request.arrival);
    std::lock_guard lock(mMutex);
    if (mIdle > mQueue.size()) {
      mQueue.push_back(request);
      mWake.notify_one();
    } else if (mThreads.size() < mOptions.maxInFlight) {
      mQueue.push_back(request);
      mThreads.emplace_back([this] { work(); });
    } else {
      ++mDropped;
    }
  }
}

void LoadRun::work()
{
  std::unique_lock lock(mMutex);
  for (;;) {
    ++mIdle;
    mWake.wait(lock, [this] { return mEnding || !mQueue.empty(); });
    --mIdle;
    if (mQueue.empty()) {
      return;
    }
    PlannedRequest request = std::move(mQueue.front());
    mQueue.pop_front();
    lock.unlock();
    execute(request);
    lock.lock();
  }
}

void LoadRun::execute(const PlannedRequest& aRequest)
{
  base::TimePoint arrival = mStart + aRequest.arrival;
  mDispatchLag.record(std::chrono::steady_clock::now() - arrival);
  base::TimePoint deadline = arrival + base::Milliseconds(mOptions.deadlineMs);
  Try result;
  for (int attempt = 0;; ++attempt) {
    result = tryOnce(aRequest, aRequest.entry + size_t(attempt), arrival);
    auto again = std::chrono::steady_clock::now() + result.retryAfter;
    if (!result.mayRetry || attempt >= mOptions.retries || again >= deadline) {
      break;
    }
    std::this_thread::sleep_until(again);
    std::lock_guard lock(mMutex);
    ++mRetries;
  }
  record(aRequest, result, std::chrono::steady_clock::now() - arrival);
}

net::ClientRequest LoadRun::toHttp(const PlannedRequest& aRequest, base::Duration aLeft) const
{
  std::string id = "load-" + std::to_string(mOptions.seed) + "-" + std::to_string(aRequest.number);
  Json::Value body;
  body["prompt"] = aRequest.prompt;
  net::ClientRequest request;
  request.method = "POST";
  if (mOptions.direct) {
    body["requestId"] = id;
    body["model"] = mOptions.model;
    body["maxTokens"] = Json::Int64(aRequest.tokens);
    body["priority"] = aRequest.priority;
    request.target = "/generate";
  } else {
    body["max_tokens"] = Json::Int64(aRequest.tokens);
    request.target = "/v1/models/" + net::percentEncode(mOptions.model) + "/generate";
    request.headers = { { "X-Workspace", mOptions.workspaces[aRequest.workspace].name },
                        { "X-Request-Id", id },
                        { "X-Priority", std::to_string(aRequest.priority) },
                        { "X-Deadline-Ms",
                          std::to_string(std::max<int64_t>(1, base::toMilliseconds(aLeft))) } };
  }
  request.body = base::writeJson(body);
  return request;
}

LoadRun::Try LoadRun::tryOnce(const PlannedRequest& aRequest,
                              size_t aEntry,
                              base::TimePoint aArrival)
{
  auto deadline = aArrival + base::Milliseconds(mOptions.deadlineMs);
  net::HttpClient client(mOptions.entries[aEntry % mOptions.entries.size()],
                         { .readTimeout = base::Milliseconds(mOptions.silenceMs) });
  Checker checker(mOptions.expected, aRequest.prompt, aRequest.tokens);
  SseReader reader;
  int status = 0;
  std::string errorBody;
  base::TimePoint last{};
  auto onToken = [&] {
    auto now = std::chrono::steady_clock::now();
    if (last == base::TimePoint{}) {
      mFirstToken.record(now - aArrival);
    } else {
      mBetweenTokens.record(now - last);
    }
    last = now;
  };
  Try result;
  auto response = client.stream(
    toHttp(aRequest, deadline - std::chrono::steady_clock::now()),
    [&](const net::ClientResponse& aHead) {
      status = aHead.status;
      result.instance = aHead.header("X-Instance").value_or("");
      if (status != 200) {
        result.outcome = aHead.header("X-Ran") == "no" ? Outcome::Refused : Outcome::Failed;
      }
      return true;
    },
    [&](std::string_view aBytes) {
      if (status != 200) {
        errorBody.append(aBytes);
        return errorBody.size() < (1 << 20);
      }
      reader.feed(aBytes, [&](const SseEvent& aEvent) {
        if (checker.onEvent(aEvent)) {
          onToken();
        }
      });
      return true;
    });
  if (status == 200) {
    result.outcome = checker.outcome();
    return result;
  }
  if (status == 0) {
    // Nothing was sent when no connection was made, so another entry may be tried.
    result.mayRetry = !response && response.error().kind == base::ErrorKind::Unavailable;
    result.outcome = result.mayRetry ? Outcome::Unreachable : Outcome::Lost;
    return result;
  }
  result.mayRetry = result.outcome == Outcome::Refused;
  if (auto body = base::parseJson(errorBody); body && body->isObject()) {
    result.retryAfter = base::Milliseconds(base::intOr(*body, "retryAfterMs", 0));
  }
  return result;
}

void LoadRun::record(const PlannedRequest& aRequest, const Try& aTry, base::Duration aTotal)
{
  if (aTry.outcome == Outcome::Answered) {
    mTotal.record(aTotal);
  }
  std::lock_guard lock(mMutex);
  ++mCounts[size_t(aTry.outcome)];
  WorkspaceResult& workspace = mByWorkspace[aRequest.workspace];
  ++workspace.sent;
  bool inTime = aTotal <= base::Milliseconds(mOptions.deadlineMs);
  workspace.answeredInTime += aTry.outcome == Outcome::Answered && inTime ? 1 : 0;
  if (!mOptions.logPath.empty()) {
    mLog.push_back(
      std::to_string(aRequest.number) + "," + std::to_string(toSeconds(aRequest.arrival)) + "," +
      std::to_string(toMs(toSeconds(aTotal))) + "," + mOptions.workspaces[aRequest.workspace].name +
      "," + std::to_string(aRequest.priority) + "," + std::string(toString(aTry.outcome)) + "," +
      aTry.instance);
  }
}

Json::Value LoadRun::summary(double aElapsedSeconds) const
{
  Json::Value body;
  uint64_t sent = 0;
  for (size_t i = 0; i < kOutcomes; ++i) {
    body[std::string(toString(Outcome(i)))] = Json::UInt64(mCounts[i]);
    sent += mCounts[i];
  }
  uint64_t inTime = 0;
  double worth = 0;
  double worthInTime = 0;
  for (size_t i = 0; i < mByWorkspace.size(); ++i) {
    const WorkspaceLoad& load = mOptions.workspaces[i];
    Json::Value& workspace = body["workspaces"][load.name];
    workspace["sent"] = Json::UInt64(mByWorkspace[i].sent);
    workspace["answeredInTime"] = Json::UInt64(mByWorkspace[i].answeredInTime);
    inTime += mByWorkspace[i].answeredInTime;
    worth += load.worth * double(mByWorkspace[i].sent);
    worthInTime += load.worth * double(mByWorkspace[i].answeredInTime);
  }
  body["sent"] = Json::UInt64(sent);
  body["answeredInTime"] = Json::UInt64(inTime);
  body["worth"] = worth;
  body["worthInTime"] = worthInTime;
  body["retries"] = Json::UInt64(mRetries);
  // Arrivals that the generator failed to start; a run with any of them is invalid.
  body["dropped"] = Json::UInt64(mDropped);
  body["seconds"] = aElapsedSeconds;
  body["seed"] = Json::UInt64(mOptions.seed);
  body["firstToken"] = quantiles(mFirstToken);
  body["betweenTokens"] = quantiles(mBetweenTokens);
  body["total"] = quantiles(mTotal);
  body["dispatchLag"] = quantiles(mDispatchLag);
  return body;
}

} // namespace boragepitch::load
