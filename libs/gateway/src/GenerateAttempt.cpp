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
  if (!mEndpoint && mCutAt) {
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
  mReceived = mReceivedAtProbe = 0;
  mEventsAtStart = mAssembler.nextEvent();
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
                      { kTokens, std::to_string(tokensLeft()) },
                      { kDeadline, std::to_string(std::max(1LL, base::toMilliseconds(left))) },
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
      mCore->cancelLater(mEndpoint->dataAddress, mRunId);
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
  if (!mCrashes.empty() && isPoison()) {
    mRefusal = poisonRefusal();
    return AttemptEnd::Final;
  }
  if (!chooseEndpoint()) {
    return AttemptEnd::NotRun;
  }
  startCall();
  AttemptEnd end = pump(aWriter);
  // Without a writer, the attempt continues in stream() after its first event.
  bool goesOn = end == AttemptEnd::Done && !mAssembler.isDone();
  if (!goesOn) {
    closeAttempt();
  }
  return end;
}

/** Relays data until the attempt ends; without a writer, until the first complete events. */
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
  // Reads the rest of the response, so that the connection can be reused.
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
    // All complete events of one chunk are sent in one write.
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

/** Probes the agent over a new connection: true when the silent connection should have delivered
 * data, the engine has stalled or the agent does not answer. */
bool GenerateSession::isDead()
{
  bool samePlace = mProbes > 0 && mReceivedAtProbe == mReceived;
  mReceivedAtProbe = mReceived;
  auto answer = mCore->askAgent(mEndpoint->dataAddress, "GET", mRunId);
  if (!answer) {
    return true;
  }
  std::string state = base::stringOr(*answer, "state");
  noteCrash(base::stringOr(*answer, "crashId"));
  auto sent = static_cast<uint64_t>(std::max<int64_t>(0, base::intOr(*answer, "bytes", 0)));
  if (state == "queued") {
    return false;
  }
  ++mProbes;
  if (state == "running" && sent <= mReceived) {
    return samePlace && mProbes >= kStalledProbes;
  }
  // Bytes may have arrived during the probe; the connection is dead if none have by the next probe.
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
  auto answer = mCore->askAgent(mEndpoint->dataAddress, "DELETE", mRunId);
  if (answer) {
    noteCrash(base::stringOr(*answer, "crashId"));
  }
  return broken();
}

/** Ends an attempt that broke or whose response is unusable. */
AttemptEnd GenerateSession::broken()
{
  mMayHaveRun = true;
  mCore->avoid(*mEndpoint, kAvoidLoaded);
  mExcluded.push_back(mEndpoint->name);
  mCutAt = std::chrono::steady_clock::now();
  ++mCuts;
  mCutsInVain = mAssembler.nextEvent() > mEventsAtStart ? 0 : mCutsInVain + 1;
  if (isPoison()) {
    mRefusal = poisonRefusal();
    awaitNotice();
    return AttemptEnd::Final;
  }
  return AttemptEnd::Cut;
}

/** Includes crashes seen by other entries, since the caller may have sent the request there before.
 */
bool GenerateSession::isPoison() const
{
  return mCrashes.size() >= 2 || mCore->suspicion(mFingerprint) == routing::Suspicion::Poison;
}

void GenerateSession::noteCrash(const std::string& aCrashId)
{
  if (aCrashId.empty() || !mCrashes.insert(aCrashId).second) {
    return;
  }
  mCore->learnSuspect({ mFingerprint, aCrashId });
  tellEntries();
}

/** Runs in parallel with the next attempt, so that the other entries know of the first crash before
 * a second one. */
void GenerateSession::tellEntries()
{
  if (!mCore->options.suspectNotice) {
    return;
  }
  std::vector<control::Suspect> suspects;
  for (const std::string& crash : mCrashes) {
    suspects.push_back({ mFingerprint, crash });
  }
  mNoticeUntil = std::chrono::steady_clock::now() + mCore->options.limits.noticeTimeout;
  mNotice = mCore->options.suspectNotice(std::move(suspects));
}

/** Waits until the other entries know of the crashes. Otherwise a caller that retries at once could
 * crash a third engine through another entry. */
void GenerateSession::awaitNotice()
{
  if (mNotice.valid()) {
    mNotice.wait_until(mNoticeUntil);
  }
}

} // namespace boragepitch::gateway
