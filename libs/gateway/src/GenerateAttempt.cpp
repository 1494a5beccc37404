#include "GenerateSession.h"

#include <algorithm>

#include "base/Json.h"

namespace boragepitch::gateway {

using routing::StreamFault;

namespace {

/** Probes without progress after which an engine is considered stalled. */
constexpr int kStalledProbes = 5;

} // namespace

Refusal poisonRefusal()
{
  return { 422,
           Ran::Yes,
           "invalid",
           "the request was in flight at two engine crashes",
           "do not retry it; change the request",
           {} };
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

int64_t GenerateSession::tokensLeft() const
{
  return std::max<int64_t>(1, mMaxTokens - static_cast<int64_t>(mAssembler.nextEvent()));
}

bool GenerateSession::chooseEndpoint()
{
  routing::ChoiceRequest request;
  request.model = mModel;
  request.manifest = mAssembler.manifest();
  request.prefix = mPrefix;
  request.excluded = mExcluded;
  mEndpoint = mCore->choose(request);
  if (!mEndpoint && mLastCutAt) {
    // The endpoint that cut the stream may be the only one that can resume it.
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
  mReceivedBytes = mBytesAtLastProbe = 0;
  mEventsBeforeAttempt = mAssembler.nextEvent();
  mProbes = 0;
  mHasHead = mCallEnded = mHasProgress = false;
  auto remaining = mCaller.deadline - std::chrono::steady_clock::now();
  net::ClientRequest request;
  request.method = "POST";
  request.target = "/run/generate";
  request.headers = { { kRequestId, mRunId },
                      { kAttempt, std::to_string(mAttempts) },
                      { kManifest, mManifest },
                      { kRevision, std::to_string(mCore->table()->revision()) },
                      { kFingerprint, mFingerprint },
                      { kPriority, std::to_string(mCaller.priority) },
                      { kTokens, std::to_string(tokensLeft()) },
                      { kDeadline, std::to_string(std::max(1LL, base::toMilliseconds(remaining))) },
                      { kWorkspace, mCaller.workspace } };
  if (!mCrashes.empty()) {
    request.headers.emplace(kSuspect, *mCrashes.begin());
  }
  request.body = body();
  mCall = UpstreamCall::start(
    mCore->workers, mCore->pool.acquire(mEndpoint->dataAddress), std::move(request));
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
      mCore->cancelAsync(mEndpoint->dataAddress, mRunId);
    }
    mCall = nullptr;
  }
  if (mEndpoint) {
    mCore->releaseEndpoint(*mEndpoint);
    mEndpoint = nullptr;
  }
}

AttemptResult GenerateSession::attempt(net::StreamWriter* aWriter)
{
  if (!mCrashes.empty() && isPoison()) {
    mRefusal = poisonRefusal();
    return AttemptResult::Rejected;
  }
  if (!chooseEndpoint()) {
    return AttemptResult::NotRun;
  }
  startCall();
  AttemptResult result = relayEvents(aWriter);
  // Without a writer, the attempt continues in stream() after its first event.
  bool continues = result == AttemptResult::Done && !mAssembler.isDone();
  if (!continues) {
    closeAttempt();
  }
  return result;
}

/** Relays data until the attempt ends; without a writer, until the first complete events. */
AttemptResult GenerateSession::relayEvents(net::StreamWriter* aWriter)
{
  std::string data;
  for (;;) {
    auto now = std::chrono::steady_clock::now();
    if (now >= mCaller.deadline) {
      return AttemptResult::Cut;
    }
    auto until =
      std::min<base::TimePoint>(mCaller.deadline, now + mCore->options.limits.progressTimeout);
    CallEvent event = mCall->next(data, until);
    std::optional<AttemptResult> result;
    if (event == CallEvent::Head) {
      AttemptResult head = onHead();
      result = head == AttemptResult::Done ? std::nullopt : std::optional(head);
    } else if (event == CallEvent::Data) {
      result = onData(data, aWriter);
    } else if (event == CallEvent::Timeout) {
      result = onSilence(aWriter);
    } else {
      return onBrokenConnection();
    }
    if (result) {
      return *result;
    }
  }
}

AttemptResult GenerateSession::onHead()
{
  const net::ClientResponse& head = mCall->head();
  mHasHead = true;
  mCore->recordLoad(*mEndpoint, head);
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
    return abandonAttempt();
  }
  return AttemptResult::Done;
}

AttemptResult GenerateSession::onRefusedHead()
{
  const net::ClientResponse& head = mCall->head();
  // Reads the rest of the response, so that the connection can be reused.
  std::string body;
  std::string data;
  auto until = std::chrono::steady_clock::now() + mCore->options.limits.probeTimeout;
  CallEvent event = mCall->next(data, until);
  for (; event == CallEvent::Data; event = mCall->next(data, until)) {
    body += data;
  }
  mCallEnded = event == CallEvent::End;
  if (head.status == 422) {
    mRefusal = poisonRefusal();
    return AttemptResult::Rejected;
  }
  if (head.header(kRan) != "no") {
    recordCrash(head.header(kCrash).value_or(""));
    return abandonAttempt();
  }
  bool closed = head.header(kClosed).has_value();
  auto parsed = base::parseJson(body);
  auto retryAfter = base::Milliseconds(parsed ? base::intOr(*parsed, "retryAfterMs", 0) : 0);
  mRefusal = overloadRefusal("no endpoint takes the request now",
                             std::max<base::Duration>(retryAfter, kAvoidAfterOverload));
  mChargeRetry = !closed;
  if (!closed) {
    mSlot.markOverloaded();
  }
  mCore->avoid(*mEndpoint, closed ? kAvoidAfterClosed : kAvoidAfterOverload);
  mExcluded.push_back(mEndpoint->name);
  return AttemptResult::NotRun;
}

std::optional<AttemptResult> GenerateSession::onData(const std::string& aData,
                                                     net::StreamWriter* aWriter)
{
  mReceivedBytes += aData.size();
  mProbes = 0;
  auto fault = mAssembler.feed(aData, [&](std::string_view aEvent) {
    mUnsentEvents += aEvent;
    return true;
  });
  recordProgress();
  if (aWriter != nullptr && !mUnsentEvents.empty()) {
    // All complete events of one chunk are sent in one write.
    bool written = aWriter->write(mUnsentEvents);
    mUnsentEvents.clear();
    if (!written) {
      return AttemptResult::CallerLeft;
    }
  }
  if (fault != StreamFault::None) {
    mCore->metrics.foreign.add();
    return abandonAttempt();
  }
  if (mAssembler.isDone()) {
    std::string rest;
    auto until = std::chrono::steady_clock::now() + base::Milliseconds(50);
    mCallEnded = mCall->next(rest, until) == CallEvent::End;
    return AttemptResult::Done;
  }
  return aWriter == nullptr && !mUnsentEvents.empty() ? std::optional(AttemptResult::Done)
                                                      : std::nullopt;
}

std::optional<AttemptResult> GenerateSession::onSilence(net::StreamWriter* aWriter)
{
  if (aWriter != nullptr && !aWriter->peerIsConnected()) {
    return AttemptResult::CallerLeft;
  }
  if (isPastDeadline() || !isConnectionDead()) {
    return isPastDeadline() ? std::optional(AttemptResult::Cut) : std::nullopt;
  }
  mCore->metrics.silentConnections.add();
  return abandonAttempt();
}

/** Probes the agent over a new connection: true when the silent connection should have delivered
 * data, the engine has stalled or the agent does not answer. */
bool GenerateSession::isConnectionDead()
{
  bool noProgress = mProbes > 0 && mBytesAtLastProbe == mReceivedBytes;
  mBytesAtLastProbe = mReceivedBytes;
  auto answer = mCore->queryAgent(mEndpoint->dataAddress, "GET", mRunId);
  if (!answer) {
    return true;
  }
  std::string state = base::stringOr(*answer, "state");
  recordCrash(base::stringOr(*answer, "crashId"));
  auto sent = static_cast<uint64_t>(std::max<int64_t>(0, base::intOr(*answer, "bytes", 0)));
  if (state == "queued") {
    return false;
  }
  ++mProbes;
  if (state == "running" && sent <= mReceivedBytes) {
    return noProgress && mProbes >= kStalledProbes;
  }
  // Bytes may have arrived during the probe; the connection is dead if none have by the next probe.
  return noProgress;
}

AttemptResult GenerateSession::onBrokenConnection()
{
  mCallEnded = true;
  std::string ignored;
  bool unsent = !mHasHead && mCall->next(ignored, {}) == CallEvent::Failed &&
                mCall->error().kind == base::ErrorKind::Unavailable;
  if (unsent) {
    mChargeRetry = false;
    mCore->avoid(*mEndpoint, kAvoidAfterClosed);
    mExcluded.push_back(mEndpoint->name);
    return AttemptResult::NotRun;
  }
  auto answer = mCore->queryAgent(mEndpoint->dataAddress, "DELETE", mRunId);
  if (answer) {
    recordCrash(base::stringOr(*answer, "crashId"));
  }
  return abandonAttempt();
}

/** Ends an attempt that broke or whose response is unusable. */
AttemptResult GenerateSession::abandonAttempt()
{
  mMayHaveRun = true;
  mCore->avoid(*mEndpoint, kAvoidAfterOverload);
  mExcluded.push_back(mEndpoint->name);
  mLastCutAt = std::chrono::steady_clock::now();
  ++mCuts;
  mCutsWithoutProgress =
    mAssembler.nextEvent() > mEventsBeforeAttempt ? 0 : mCutsWithoutProgress + 1;
  if (isPoison()) {
    mRefusal = poisonRefusal();
    awaitNotice();
    return AttemptResult::Rejected;
  }
  return AttemptResult::Cut;
}

/** Includes crashes seen by other entries, since the caller may have sent the request there before.
 */
bool GenerateSession::isPoison() const
{
  return mCrashes.size() >= 2 || mCore->suspicion(mFingerprint) == routing::Suspicion::Poison;
}

void GenerateSession::recordCrash(const std::string& aCrashId)
{
  if (aCrashId.empty() || !mCrashes.insert(aCrashId).second) {
    return;
  }
  mCore->learnSuspect({ mFingerprint, aCrashId });
  notifyEntries();
}

void GenerateSession::recordProgress()
{
  if (mHasProgress || mAssembler.nextEvent() <= mEventsBeforeAttempt) {
    return;
  }
  mHasProgress = true;
  if (mCrashes.empty()) {
    return;
  }
  mCore->recordProgress(mFingerprint);
  std::erase_if(mCrashes, [&](const std::string& aCrash) {
    bool isPassed = mCore->isCleared(mFingerprint, aCrash);
    if (isPassed) {
      mPassedCrashes.push_back(aCrash);
    }
    return isPassed;
  });
}

/** Runs in parallel with the next attempt, so that the other entries know of the first crash before
 * a second one. */
void GenerateSession::notifyEntries()
{
  if (!mCore->options.suspectNotice) {
    return;
  }
  std::vector<control::Suspect> suspects;
  for (const std::string& crash : mPassedCrashes) {
    suspects.push_back(
      { mFingerprint, std::string(routing::PoisonTracker::kClearedPrefix) + crash });
  }
  for (const std::string& crash : mCrashes) {
    suspects.push_back({ mFingerprint, crash });
  }
  mNoticeDeadline = std::chrono::steady_clock::now() + mCore->options.limits.noticeTimeout;
  mNotice = mCore->options.suspectNotice(std::move(suspects));
}

/** Waits until the other entries know of the crashes. Otherwise a caller that retries at once could
 * crash a third engine through another entry. */
void GenerateSession::awaitNotice()
{
  if (mNotice.valid()) {
    mNotice.wait_until(mNoticeDeadline);
  }
}

} // namespace boragepitch::gateway
