#include "Call.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

#include <boost/algorithm/string/predicate.hpp>

#include "StandbySend.h"

namespace boragepitch::relay {

namespace {

using namespace std::chrono_literals;
using serving::CallKind;
using serving::Outcome;

/** Connecting takes a few milliseconds within the deployment. TCP retransmits a lost packet only
 * after a second, so another endpoint is tried earlier. */
constexpr base::Milliseconds kConnectTimeout = 300ms;
/** Timeout for the first event of a stream, as a multiple of the latency target, and its minimum.
 * Under full load a first event may take twice the target. */
constexpr int kFirstEventTimeoutTargets = 3;
constexpr base::Milliseconds kMinFirstEventTimeout = 1000ms;
/** Timeout for the next event of a stream, as a multiple of the gap target, and its minimum.
 * Callers leave after eight gap targets. */
constexpr int kGapTimeoutTargets = 4;
constexpr base::Milliseconds kMinGapTimeout = 1000ms;
/** Timeout for the answer to an idempotent request, as a multiple of the latency target, and its
 * minimum. */
constexpr int kAnswerTimeoutTargets = 3;
constexpr base::Milliseconds kMinAnswerTimeout = 250ms;
/** Time after the deadline to read what has arrived of the answer: after a stall of the event loop
 * it may be all of it. */
constexpr base::Milliseconds kLastReadTime = 200ms;
/** Maximum idle time of pooled connections for requests that may run only once. If an older
 * connection had been dropped unnoticed, it would be unknown whether the request ran. */
constexpr base::Milliseconds kMaxIdleForSingleRun = 500ms;
/** Maximum idle time of pooled connections for other requests. */
constexpr base::Milliseconds kMaxIdle = 60000ms;
/** Maximum size of an event of a stream; guards against an endpoint that sends without end. */
constexpr size_t kMaxEventBytes = 1 << 20;
/** High watermark of bytes to write to the caller; above it reading from the endpoint pauses. */
constexpr size_t kBacklogHighWatermark = 256 << 10;
/** Events after which a request is past its beginning: if it crashed endpoints that begin to answer
 * it, this one would have ended by then. */
constexpr int kEventsPastBeginning = 3;
constexpr int kHighestPriority = 0;
/** Reason of failures, in log lines. */
constexpr std::string_view kEventStream = "text/event-stream";

std::string decimal(double aNumber)
{
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", aNumber);
  return text;
}

std::string seconds(base::Milliseconds aTime)
{
  return decimal(std::chrono::duration<double>(aTime).count());
}

/** Whether the status tells a caller that its request did not run. An endpoint that has not stated
 * so may have run it. */
bool promisesNotRun(int aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

bool isHopByHop(std::string_view aName)
{
  for (std::string_view name : { "connection",
                                 "keep-alive",
                                 "transfer-encoding",
                                 "content-length",
                                 "trailer",
                                 "upgrade" }) {
    if (boost::algorithm::iequals(aName, name)) {
      return true;
    }
  }
  return false;
}

/** Result of a send whose whole answer has this head; empty when the answer is the caller's. */
std::optional<SendResult> failureOf(const AnswerHead& aHead)
{
  std::string status = std::to_string(aHead.status);
  if (aHead.status == 421) {
    return SendResult{ Outcome::Misdirected, false, "misdirected" };
  }
  if (aHead.facts.notRun) {
    return SendResult{ Outcome::Rejected, false, "rejected_" + status };
  }
  if (aHead.status >= 500 || promisesNotRun(aHead.status)) {
    return SendResult{ Outcome::Failure, true, "answered_" + status };
  }
  return std::nullopt;
}

/** Prefix of the names of log events about a standby. */
std::string nameOf(StandbyKind aKind)
{
  return aKind == StandbyKind::Hedge ? "hedge" : "standby";
}

/** Whether a server error is the endpoint's own answer, which the caller may be given. */
bool mayPassOn(const AnswerHead& aHead)
{
  return aHead.status >= 500 && aHead.facts.isSigned && !aHead.facts.notRun &&
         !promisesNotRun(aHead.status);
}

} // namespace

Call::Call(Core& aCore, CallerSession& aSession, CallerRequest aRequest)
  : mCore(aCore)
  , mSession(aSession)
  , mRequest(std::move(aRequest))
{
  mCore.metrics.inFlight.add(1);
}

Call::~Call()
{
  mCore.metrics.inFlight.add(-1);
  if (mSend.exchange) {
    mSend.exchange->abort();
    mCore.endpoints.finished(
      *mSend.endpoint, mSend.occupancy, Outcome::Abandoned, std::chrono::steady_clock::now());
  }
  cancelStandbys(std::chrono::steady_clock::now());
}

void Call::start(base::TimePoint aNow)
{
  mFacts = mCore.headerCodec.readRequest(mRequest.headers);
  mDeployment = mCore.deployment;
  if (admit(aNow)) {
    send(aNow);
  }
}

bool Call::admit(base::TimePoint aNow)
{
  mRouted = routeRequest(mCore, mDeployment.get(), requestTarget(), aNow, mCore.rng);
  if (!mRouted.obstacle.empty()) {
    if (mRouted.obstacle == kStopping) {
      mCore.metrics.refusedByStop.add();
    }
    if (mRouted.status == 503) {
      refuse(mRouted.obstacle, aNow);
    } else {
      reject(mRouted.status, mRouted.obstacle, aNow);
    }
    return false;
  }
  mDeadline = mRouted.deadline;
  mSources.setLimits(answerLimits());
  limitByStop();
  mLastEvent = mFacts.lastEvent;
  mCore.retryBudget.recordRequest(mRouted.service->name, aNow);
  mCore.hedges.recordRequest(mRouted.route->name, mRouted.service->name, aNow);
  mFingerprint = serving::requestFingerprint(mRequest.target, mFacts.key, *mRequest.body);
  if (mCore.suspects.isQuarantined(mFingerprint, aNow) ||
      !mCore.quarantine.admit(mFacts.sharedParts, aNow)) {
    mCore.metrics.quarantined.add();
    fail(500, kQuarantined, aNow);
    return false;
  }
  return true;
}

RequestTarget Call::requestTarget() const
{
  return { mRequest.host, mRequest.target, mFacts, mRequest.received };
}

void Call::limitByStop()
{
  if (mCore.stop.answerBy() < mDeadline) {
    mDeadline = mCore.stop.answerBy();
    mIsLimitedByStop = true;
  }
}

bool Call::isQuarantined(base::TimePoint aNow) const
{
  return mCore.suspects.isQuarantined(mFingerprint, aNow) ||
         mCore.quarantine.isQuarantined(mFacts.sharedParts, aNow);
}

serving::PlacementRequest Call::placementRequest(base::TimePoint aNow) const
{
  auto request = relay::placementRequest(mCore, mRouted, requestTarget(), aNow);
  request.excluded = mTriedEndpoints;
  // A request that was sent before is served late rather than refused.
  request.urgency = mStreamBegan           ? serving::Urgency::Continued
                    : mSources.sends() > 0 ? serving::Urgency::Late
                                           : serving::Urgency::Ordinary;
  return request;
}

serving::Placement Call::choose(base::TimePoint aNow)
{
  auto placement = mCore.endpoints.choose(placementRequest(aNow), aNow, mCore.rng);
  mUnavailableFor = placement.unavailableFor;
  return placement;
}

void Call::send(base::TimePoint aNow)
{
  if (mSources.sends() == 0 && !admitByPriority(aNow)) {
    return;
  }
  auto request = placementRequest(aNow);
  auto placement = choose(aNow);
  if (mSources.sends() == 0 && mIsPrioritized &&
      placement.refusal != serving::Refusal::NoEndpoint) {
    mCore.admission.recordPlacement(
      mRouted.service->name, mRouted.priority, placement.endpoint != nullptr);
  }
  if (mSources.sends() == 0 && mIsPrioritized && placement.refusal == serving::Refusal::Full) {
    mCore.urgentRefusals.record(mRouted.service->name, mRouted.priority, aNow);
  }
  mCandidates = placement.candidates;
  mPredictedMs = placement.predictedMs;
  if (!placement.endpoint) {
    giveUp(aNow, serving::toString(placement.refusal));
    return;
  }
  mHead.reset();
  mBody = {};
  mIsStream = false;
  mSendHadEvent = false;
  mSendEvents = 0;
  mSendLastEvent.reset();
  mSplitter.restart();
  mEarlyComments.clear();
  chargeAnswer(aNow);
  mProgressAt = aNow;
  mAdopted.reset();
  mSend = prepareSend(placement, request, weak_from_this(), aNow);
  startSend(mSend, aNow);
  scheduleHedge(aNow);
}

Send Call::prepareSend(const serving::Placement& aPlacement,
                       const serving::PlacementRequest& aRequest,
                       std::weak_ptr<ExchangeHandler> aHandler,
                       base::TimePoint aNow)
{
  Send send;
  send.endpoint = aPlacement.endpoint;
  const auto& record = send.endpoint->record;
  send.source = mSources.add(aNow);
  mTriedEndpoints.push_back(record.id);
  send.sentAt = aNow;
  send.load = serving::EndpointSet::load(*send.endpoint, aNow);
  send.reportAge = send.endpoint->report ? aNow - send.endpoint->reportedAt : base::Duration(-1);
  send.listAge = mCore.listAge(aNow);
  send.wasLapsed = send.endpoint->isLapsed;
  send.believedVersion = send.endpoint->weightVersion();
  send.occupancy = mCore.endpoints.started(aPlacement, aRequest, aNow);
  ExchangeRequest exchange;
  exchange.endpoint = record.id;
  exchange.address = record.address;
  exchange.attemptId = mFacts.attemptId;
  exchange.isHead = mRequest.method == "HEAD";
  exchange.maxIdle = mRouted.route->mayRepeat() ? kMaxIdle : kMaxIdleForSingleRun;
  send.exchange = std::make_shared<Exchange>(
    mCore.io, mCore.pool, mCore.headerCodec, std::move(exchange), std::move(aHandler));
  return send;
}

void Call::startSend(const Send& aSend, base::TimePoint aNow)
{
  aSend.exchange->start(forwardHead(*aSend.endpoint, aNow), mRequest.body, aNow);
  if (aSend.exchange->isNewConnection()) {
    mCore.metrics.connects.add();
  }
}

bool Call::admitByPriority(base::TimePoint aNow)
{
  mIsPrioritized = isPrioritized(mCore, *mDeployment, mRouted, mFacts);
  if (!mIsPrioritized) {
    return true;
  }
  std::string_view workspace =
    mRouted.workspace != nullptr ? mRouted.workspace->name : std::string_view();
  mAdmission =
    mCore.admission.admit(mRouted.service->name, mRouted.priority, workspace, aNow, mCore.rng);
  if (!mAdmission.isAdmitted) {
    mCore.metrics.refusedByPriority[static_cast<size_t>(mRouted.priority)]->add();
    refuse(kLessUrgent, aNow);
  }
  return mAdmission.isAdmitted;
}

std::string Call::forwardHead(const serving::Endpoint& aEndpoint, base::TimePoint aNow) const
{
  ForwardFacts facts;
  facts.endpointId = aEndpoint.record.id;
  // Not the end of this process: the endpoint would break the answer off before it is lost here.
  facts.timeLeft = std::chrono::duration_cast<base::Milliseconds>(mRouted.deadline - aNow);
  facts.workspace = mRouted.workspace != nullptr ? mRouted.workspace->name : "";
  facts.priority = mRouted.priority;
  if (mStreamBegan) {
    // The caller is reading the stream and would notice any wait.
    facts.priority = kHighestPriority;
  }
  facts.lastEvent = mLastEvent;
  if (mRouted.service->engine && needsExpectedVersion(aEndpoint, aNow)) {
    facts.weightVersion = aEndpoint.weightVersion();
  }
  HeaderLines headers = mRequest.headers;
  mCore.headerCodec.writeForward(headers, facts);
  std::string text = mRequest.method + " " + mRequest.target + " HTTP/1.1\r\n";
  for (const HeaderLine& line : headers) {
    text += line.name;
    text += ": ";
    text += line.value;
    text += "\r\n";
  }
  if (!mRequest.body->empty() || mRequest.method == "POST" || mRequest.method == "PUT") {
    text += "Content-Length: " + std::to_string(mRequest.body->size()) + "\r\n";
  }
  text += "\r\n";
  return text;
}

bool Call::needsExpectedVersion(const serving::Endpoint& aEndpoint, base::TimePoint aNow) const
{
  // Engines with an older version than the next one are watched by isStartOverdue(). The others are
  // used without a time limit, so the engine must confirm what its row and reports say.
  auto due = mCore.dueVersion(mFacts.model, aNow);
  return mCore.requiredVersion(mFacts.model, aNow) != 0 ||
         (due && aEndpoint.weightVersion() >= due->version);
}

void Call::onSent()
{
  recordSent(mSend);
}

void Call::recordSent(Send& aSend)
{
  auto now = std::chrono::steady_clock::now();
  aSend.writeTime = now - aSend.sentAt;
  if (!aSend.endpoint->leaveKnownAt) {
    return;
  }
  mCore.metrics.sentAfterLeave.add();
  mCore.log.write(telemetry::EventClass::Refused,
                  "sent_after_leave",
                  { { "id", mFacts.attemptId },
                    { "endpoint", aSend.endpoint->record.id },
                    { "lapsed", aSend.wasLapsed ? "yes" : "no" },
                    { "known_ms", milliseconds(now - *aSend.endpoint->leaveKnownAt) },
                    { "write_ms", milliseconds(aSend.writeTime) },
                    { "list_age_ms", milliseconds(aSend.listAge) } },
                  now);
}

void Call::recordEndpointState(const AnswerHead& aHead, const Send& aSend, base::TimePoint aNow)
{
  if (aHead.facts.retryAfter) {
    serving::EndpointSet::pause(*aSend.endpoint, *aHead.facts.retryAfter, aNow);
  }
  if (!aHead.facts.isLeaving || !serving::EndpointSet::announceLeave(*aSend.endpoint, aNow)) {
    return;
  }
  mCore.pool.dropEndpoint(aSend.endpoint->record.id);
  mCore.log.write(telemetry::EventClass::Critical,
                  "endpoint_announced_leave",
                  { { "endpoint", aSend.endpoint->record.id },
                    { "id", mFacts.attemptId },
                    { "listed_as", aSend.endpoint->record.isDraining ? "draining" : "ready" },
                    { "list_age_ms", milliseconds(mCore.listAge(aNow)) } },
                  aNow);
}

void Call::recordLimit(const AnswerHead& aHead, const Send& aSend, base::TimePoint aNow)
{
  if (!aSend.endpoint->limit.record(aHead.facts.requestLimit, aSend.sentAt, aNow)) {
    return;
  }
  auto limit = aSend.endpoint->limit.perSecond();
  mCore.log.write(telemetry::EventClass::Critical,
                  limit ? "endpoint_limited" : "endpoint_limit_ended",
                  { { "endpoint", aSend.endpoint->record.id },
                    { "id", mFacts.attemptId },
                    { "per_second", limit ? decimal(*limit) : "-" },
                    { "sent_ms", milliseconds(aNow - aSend.sentAt) } },
                  aNow);
}

void Call::onLateHead(const AnswerHead& aHead)
{
  recordEndpointState(aHead, mSend, std::chrono::steady_clock::now());
}

void Call::onHead(const AnswerHead& aHead)
{
  mHead = aHead;
  mHasReadSinceTick = true;
  auto now = std::chrono::steady_clock::now();
  mCore.recordLife(*mSend.endpoint, mSend.exchange->connectionOpenedAt(), now);
  recordEndpointState(aHead, mSend, now);
  recordLimit(aHead, mSend, now);
  takeHead(aHead);
}

void Call::takeHead(const AnswerHead& aHead)
{
  if (aHead.status / 100 != 2) {
    return;
  }
  if (!aHead.facts.isSigned || aHead.facts.isEncoded) {
    abortSend({ Outcome::Broken, true, "unsigned_answer" }, std::chrono::steady_clock::now());
    return;
  }
  if (aHead.facts.weightVersion) {
    mCore.endpoints.recordWeightVersion(*mSend.endpoint, *aHead.facts.weightVersion);
  }
  mIsStream = headerValue(aHead.headers, "Content-Type").starts_with(kEventStream);
}

void Call::onBody(std::string_view aBytes)
{
  mHasReadSinceTick = true;
  auto now = std::chrono::steady_clock::now();
  if (mIsStream) {
    mCore.recordLife(*mSend.endpoint, mSend.exchange->connectionOpenedAt(), now);
  }
  takeBody(aBytes, now);
}

void Call::takeBody(std::string_view aBytes, base::TimePoint aNow)
{
  if (!mIsStream) {
    mBody += aBytes;
    chargeAnswer(aNow);
    return;
  }
  mSplitter.feed(aBytes);
  while (mSend.exchange) {
    auto event = mSplitter.next();
    if (!event) {
      break;
    }
    handleEvent(*event, aNow);
  }
  if (mSend.exchange && mSplitter.pending().size() > kMaxEventBytes) {
    abortSend({ Outcome::Broken, true, "event_too_large" }, aNow);
    return;
  }
  chargeAnswer(aNow);
}

void Call::chargeAnswer(base::TimePoint aNow)
{
  size_t standbyBytes = 0;
  for (const auto& standby : mStandbys) {
    standbyBytes += standby->heldBytes();
  }
  mCharge.set(mBody.capacity() + mSplitter.heldBytes() + mEarlyComments.capacity() +
              (mAnsweredError ? mAnsweredError->second.capacity() : 0) + standbyBytes);
  if (mCore.memory.isExceeded()) {
    mCore.relieveMemory(aNow);
  }
}

void Call::giveUpAnswer(base::TimePoint aNow)
{
  auto self = shared_from_this(); // The end of the request may release it.
  mAnsweredError.reset();
  cancelStandbys(aNow);
  if (mSend.exchange) {
    abortSend({ Outcome::Abandoned, true, "memory" }, aNow);
  }
  mBody = {};
  mEarlyComments = {};
  mSplitter.restart();
  mCharge.set(0);
}

void Call::handleEvent(const serving::StreamEvent& aEvent, base::TimePoint aNow)
{
  if (!aEvent.hasFields) {
    handleComment(aEvent.text);
    return;
  }
  if (containsHead(aEvent.text)) {
    // The endpoint broke the stream off and wrote another answer behind it.
    abortSend({ Outcome::Broken, true, "head_in_stream" }, aNow);
    return;
  }
  if (aEvent.id && mSendLastEvent && *aEvent.id <= *mSendLastEvent) {
    abortSend({ Outcome::Broken, true, "event_repeated" }, aNow);
    return;
  }
  if (!aEvent.id && mStreamBegan && !mSendHadEvent) {
    // Its place in the stream is unknown: it may be an old event or an error's text.
    abortSend({ Outcome::Broken, true, "event_without_id" }, aNow);
    return;
  }
  mSendLastEvent = aEvent.id ? aEvent.id : mSendLastEvent;
  if (++mSendEvents == 1) {
    mSendBegunAt = aNow;
  }
  if (mSendEvents == kEventsPastBeginning) {
    mCore.recordProof(mFacts.sharedParts, mSendBegunAt, aNow);
  }
  if (aEvent.id && mLastEvent) {
    if (*aEvent.id <= *mLastEvent) {
      return; // The caller received this event before the stream was resumed.
    }
    if (*aEvent.id != *mLastEvent + 1) {
      abortSend({ Outcome::Broken, true, "event_missing" }, aNow);
      return;
    }
  }
  mSources.deliver(mSend.source, aNow);
  cancelStandbys(aNow);
  mCore.endpoints.endSilence(*mSend.endpoint, mSend.occupancy);
  if (!mSendHadEvent) {
    mSendHadEvent = true;
    mCore.endpoints.firstEvent(*mSend.endpoint, mSend.occupancy, aNow - mSend.sentAt);
    checkStartVersion(aNow);
  }
  if (!mStreamBegan) {
    recordSendTime(aNow);
    mStreamBegan = true;
    mFirstEventAt = aNow;
    mCore.metrics.firstByte.record(aNow - mRequest.received);
    mSession.beginStream(mHead->status, answerHeaders(*mHead));
    mSession.writeStream(mEarlyComments);
  } else {
    mLongestGap = std::max(mLongestGap, aNow - mProgressAt);
  }
  if (aEvent.id) {
    mLastEvent = aEvent.id;
  }
  ++mEventCount;
  mProgressAt = aNow;
  mSession.writeStream(aEvent.text);
  if (mSend.exchange && mSession.backlog() > kBacklogHighWatermark) {
    mSend.exchange->setPaused(true);
  }
}

void Call::handleComment(std::string_view aText)
{
  if (!mStreamBegan) {
    mEarlyComments += aText; // Another endpoint may still take the request from the beginning.
  } else if (mSendHadEvent) {
    mSession.writeStream(aText);
  }
}

void Call::checkStartVersion(base::TimePoint aNow)
{
  uint64_t required = mCore.requiredVersion(mFacts.model, aNow);
  if (!mHead->facts.weightVersion || *mHead->facts.weightVersion >= required) {
    return;
  }
  mCore.metrics.begunOutdated.add();
  mCore.log.write(telemetry::EventClass::Refused,
                  "begun_outdated",
                  { { "id", mFacts.attemptId },
                    { "endpoint", mSend.endpoint->record.id },
                    { "weights", std::to_string(*mHead->facts.weightVersion) },
                    { "believed", std::to_string(mSend.believedVersion) },
                    { "required", std::to_string(required) },
                    { "after_ms", milliseconds(aNow - mSend.sentAt) },
                    { "late", mSources.endedRuns() > 0 ? "yes" : "no" },
                    { "report_age_ms", milliseconds(mSend.reportAge) },
                    { "list_age_ms", milliseconds(mSend.listAge) } },
                  aNow);
}

void Call::onCallerDrained()
{
  if (mSend.exchange && mSend.exchange->isPaused()) {
    mProgressAt = std::chrono::steady_clock::now(); // The endpoint was not silent, but not read.
    mSources.resume(mProgressAt);
    mSend.exchange->setPaused(false);
  }
}

void Call::onEnd(ExchangeEnd aEnd)
{
  auto now = std::chrono::steady_clock::now();
  if (aEnd == ExchangeEnd::Complete && mHead) {
    if (mIsStream && mSplitter.isInsideEvent()) {
      sendFailed({ Outcome::Broken, true, "event_cut" }, now);
    } else if (mHead->status / 100 == 2) {
      completed(now);
    } else {
      failureAnswered(now);
    }
    return;
  }
  if (aEnd == ExchangeEnd::ConnectFailed) {
    sendFailed({ Outcome::Silent, false, "connect_failed" }, now);
    return;
  }
  if (aEnd == ExchangeEnd::CutShort && mSendEvents < kEventsPastBeginning) {
    mCore.reportCrash({ mFingerprint,
                        mSend.endpoint->crashKey(),
                        mCore.quarantine.unproved(mFacts.sharedParts, now) },
                      mSend.sentAt,
                      now);
  }
  sendFailed({ Outcome::Broken, true, std::string(toString(aEnd)) }, now);
}

void Call::completed(base::TimePoint aNow)
{
  if (!mIsStream && mStreamBegan) {
    // A resumed stream cannot continue with an answer that is not a stream.
    sendFailed({ Outcome::Broken, true, "not_a_stream" }, aNow);
    return;
  }
  if (mStreamBegan && !mSendHadEvent) {
    // It is unknown whether the stream had events left when it broke off. A cut lets the caller ask
    // for them.
    sendFailed({ Outcome::Success, true, "no_new_event" }, aNow);
    return;
  }
  cancelStandbys(aNow);
  if (!mIsStream) {
    recordSendTime(aNow);
  }
  endSend(Outcome::Success, true, aNow);
  mCore.recordCompletion(mFingerprint, aNow);
  if (!mIsStream || mSendEvents > 0) {
    mCore.recordProof(mFacts.sharedParts, mIsStream ? mSendBegunAt : mSend.sentAt, aNow);
  }
  if (!mIsStream) {
    mCore.metrics.firstByte.record(aNow - mRequest.received);
    deliver(*mHead, mBody, aNow);
    return;
  }
  if (!mStreamBegan) {
    mStreamBegan = true;
    mSession.beginStream(mHead->status, answerHeaders(*mHead));
    mSession.writeStream(mEarlyComments);
  }
  mSession.writeStream(mSplitter.pending());
  mDone = true;
  mCore.metrics.served.add();
  mCore.metrics.total.record(aNow - mRequest.received);
  logEnd(telemetry::EventClass::Routine, "served", mHead->status, "", aNow);
  mSession.endStream(true);
}

void Call::failureAnswered(base::TimePoint aNow)
{
  if (auto failure = failureOf(*mHead)) {
    if (mayPassOn(*mHead)) {
      mAnsweredError.emplace(*mHead, mBody);
    }
    sendFailed(*failure, aNow);
  } else if (mStreamBegan) {
    // The caller is reading a stream, which only another stream can continue.
    sendFailed({ Outcome::Success, true, "answered_" + std::to_string(mHead->status) }, aNow);
  } else {
    cancelStandbys(aNow);
    endSend(Outcome::Success, true, aNow);
    deliver(*mHead, mBody, aNow);
  }
}

void Call::endSend(Outcome aOutcome, bool aMayHaveRun, base::TimePoint aNow)
{
  mSend.exchange.reset();
  mSources.end(mSend.source, aMayHaveRun);
  mCore.endpoints.finished(*mSend.endpoint, mSend.occupancy, aOutcome, aNow);
}

void Call::abortSend(SendResult aResult, base::TimePoint aNow)
{
  // The exchange may be calling this function, so it must outlive the call.
  auto exchange = mSend.exchange;
  exchange->abort();
  aResult.isGivenUp = true;
  sendFailed(aResult, aNow);
}

void Call::sendFailed(const SendResult& aResult, base::TimePoint aNow)
{
  if (mSend.exchange) {
    endSend(aResult.outcome, aResult.mayHaveRun, aNow);
  }
  mGivenUp += aResult.isGivenUp ? 1 : 0;
  bool isStandingBy = !mStandbys.empty(); // A standby goes on instead of a retry.
  std::string_view obstacle = isStandingBy ? "standby" : obstacleToRetry(aNow);
  bool isRetried = obstacle.empty();
  if (obstacle == kQuarantined) {
    mCore.metrics.quarantined.add();
  }
  mCore.log.write(
    telemetry::EventClass::Refused,
    "send_failed",
    { { "id", mFacts.attemptId },
      { "endpoint", mSend.endpoint->record.id },
      { "reason", aResult.reason },
      { "ended_by", aResult.isGivenUp ? "entry" : "endpoint" },
      { "silent_ms", milliseconds(aNow - mProgressAt) },
      { "may_have_run", aResult.mayHaveRun ? "yes" : "no" },
      { "events", std::to_string(mEventCount) },
      { "sends", std::to_string(mSources.sends()) },
      { "after_ms", milliseconds(aNow - mSend.sentAt) },
      { "retry_after_ms",
        mHead && mHead->facts.retryAfter ? milliseconds(*mHead->facts.retryAfter) : "-" },
      { "again", isRetried ? "yes" : "no" },
      { "obstacle", isRetried ? "-" : std::string(obstacle) },
      { "left_ms", milliseconds(mDeadline - aNow) },
      { "limit", mIsLimitedByStop ? "stop" : "caller" },
      { "stop_ms", milliseconds(mCore.stop.elapsed(aNow)) } },
    aNow);
  if (isStandingBy) {
    adopt(standby(mSources.current()), aNow);
    return;
  }
  if (!isRetried) {
    giveUp(aNow, aResult.reason);
    return;
  }
  mCore.metrics.repeats.add();
  if (mStreamBegan) {
    mCore.metrics.resumes.add();
  }
  send(aNow);
}

std::string_view Call::obstacleToRepeat(serving::SendObstacle aSources, base::TimePoint aNow) const
{
  if (aSources != serving::SendObstacle::None) {
    return serving::toString(aSources);
  }
  if (mStreamBegan && !mRouted.route->isResumable) {
    return "not_resumable";
  }
  if (mStreamBegan && !mLastEvent) {
    return "no_event_ids"; // Without an event id the stream cannot be resumed.
  }
  return isQuarantined(aNow) ? kQuarantined : "";
}

std::string_view Call::obstacleToRetry(base::TimePoint aNow)
{
  std::string_view obstacle = obstacleToRepeat(mSources.obstacleToSend(mDeadline, aNow), aNow);
  if (!obstacle.empty()) {
    return obstacle;
  }
  if (!choose(aNow).endpoint) {
    return "no_endpoint";
  }
  return mCore.retryBudget.tryRetry(mRouted.service->name, aNow) ? "" : "budget";
}

bool Call::canReplaceCurrent(base::TimePoint aNow)
{
  return obstacleToRepeat(mSources.obstacleToReplaceCurrent(mDeadline, aNow), aNow).empty() &&
         choose(aNow).endpoint && mCore.retryBudget.remaining(mRouted.service->name, aNow) >= 1;
}

serving::AnswerLimits Call::answerLimits() const
{
  const serving::Route& route = *mRouted.route;
  serving::AnswerLimits limits;
  limits.mayRepeat = route.mayRepeat();
  limits.maxAttempts = route.maxAttempts;
  if (route.kind == CallKind::Streaming) {
    limits.firstPartTimeout = std::max<base::Duration>(
      kMinFirstEventTimeout, kFirstEventTimeoutTargets * route.latencyTarget);
    limits.nextPartTimeout =
      std::max<base::Duration>(kMinGapTimeout, kGapTimeoutTargets * route.gapTarget);
  } else {
    limits.firstPartTimeout =
      std::max<base::Duration>(kMinAnswerTimeout, kAnswerTimeoutTargets * route.latencyTarget);
    limits.nextPartTimeout = limits.firstPartTimeout;
  }
  return limits;
}

bool Call::isStartOverdue(const serving::Endpoint& aEndpoint, base::TimePoint aNow) const
{
  auto since = aNow - mCore.startGrace();
  return mRouted.service->engine &&
         aEndpoint.weightVersion() < mCore.requiredVersion(mFacts.model, since);
}

bool Call::isReadingLast(bool aHasRead, base::TimePoint aNow)
{
  mOverdueSince = mOverdueSince.value_or(aNow);
  // Bytes that were just read may have left the socket empty while their handler is still queued.
  bool isArriving = aHasRead || mSend.exchange->isAnswerArriving();
  return isArriving && aNow - *mOverdueSince < base::Duration(kLastReadTime);
}

void Call::tick(base::TimePoint aNow)
{
  if (mDone || !mSend.exchange) {
    return;
  }
  bool hasRead = std::exchange(mHasReadSinceTick, false);
  endUnusableStandbys(aNow);
  if (mSend.exchange->isConnecting() && aNow - mSend.sentAt > kConnectTimeout &&
      (!mStreamBegan || !mStandbys.empty() || canReplaceCurrent(aNow))) {
    // Nothing was sent. A stream that has begun keeps the endpoint if there is no other: a refusal
    // would not help its caller.
    abortSend({ Outcome::Silent, false, "connect_timeout" }, aNow);
    return;
  }
  if (mCore.stop.hasStarted()) {
    // Requests that arrive now may take as long as those in progress.
    mCore.durations.recordUnanswered(mRouted.route->name, aNow - mRequest.received, aNow);
  }
  limitByStop();
  if (aNow >= mDeadline && isReadingLast(hasRead, aNow)) {
    return;
  }
  if (aNow >= mDeadline) {
    cancelStandbys(aNow);
    bool sent = !mSend.exchange->isConnecting();
    if (!mSendHadEvent) {
      recordSendTime(aNow);
    }
    auto exchange = mSend.exchange;
    exchange->abort();
    endSend(Outcome::Silent, sent, aNow);
    giveUp(aNow, "deadline");
    return;
  }
  if (!mSendHadEvent && mCore.quarantine.isQuarantined(mFacts.sharedParts, aNow)) {
    // The endpoint may not have begun the request yet.
    abortSend({ Outcome::Abandoned, true, std::string(kQuarantined) }, aNow);
    return;
  }
  if (!mSendHadEvent && isStartOverdue(*mSend.endpoint, aNow)) {
    abortSend({ Outcome::Abandoned, true, "version_overdue" }, aNow);
    return;
  }
  askAnotherIfSilent(aNow);
}

void Call::endUnusableStandbys(base::TimePoint aNow)
{
  bool isQuarantinedNow =
    !mStandbys.empty() && mCore.quarantine.isQuarantined(mFacts.sharedParts, aNow);
  for (const auto& standby : std::vector(mStandbys)) {
    const Send& send = standby->send;
    if (send.exchange->isConnecting() && aNow - send.sentAt > kConnectTimeout) {
      standbyFailed(*standby, { Outcome::Silent, false, "connect_timeout" }, aNow);
    } else if (isStartOverdue(*send.endpoint, aNow)) {
      standbyFailed(*standby, { Outcome::Abandoned, true, "version_overdue" }, aNow);
    } else if (isQuarantinedNow) {
      // The endpoint may not have begun the request yet.
      standbyFailed(*standby, { Outcome::Abandoned, true, std::string(kQuarantined) }, aNow);
    }
  }
}

void Call::askAnotherIfSilent(base::TimePoint aNow)
{
  bool isArriving = mSend.exchange->isPaused() || mSend.exchange->isAnswerArriving() ||
                    std::ranges::any_of(mStandbys, [](const auto& aStandby) {
                      return aStandby->send.exchange->isAnswerArriving();
                    });
  if (isArriving || !mSources.areAllSilent(aNow)) {
    return;
  }
  std::string_view obstacle = obstacleToRetry(aNow);
  serving::Placement placement;
  if (obstacle.empty()) {
    placement = choose(aNow);
    obstacle = placement.endpoint ? "" : "no_endpoint";
  }
  if (!obstacle.empty()) {
    if (std::exchange(mStandbyObstacle, obstacle) != obstacle) {
      mCore.log.write(telemetry::EventClass::Routine,
                      "standby_not_sent",
                      { { "id", mFacts.attemptId },
                        { "endpoint", mSend.endpoint->record.id },
                        { "reason", std::string(obstacle) },
                        { "silent_ms", milliseconds(aNow - mProgressAt) } },
                      aNow);
    }
    return;
  }
  mCore.endpoints.recordSilence(*mSend.endpoint, mSend.occupancy, aNow);
  for (const auto& standby : mStandbys) {
    mCore.endpoints.recordSilence(*standby->send.endpoint, standby->send.occupancy, aNow);
  }
  mCore.metrics.repeats.add();
  if (mStreamBegan) {
    mCore.metrics.resumes.add();
  }
  sendStandby(StandbyKind::Retry, placement, aNow);
}

void Call::sendStandby(StandbyKind aKind,
                       const serving::Placement& aPlacement,
                       base::TimePoint aNow)
{
  auto standby = std::make_shared<StandbySend>(weak_from_this(), aKind);
  standby->send = prepareSend(aPlacement, placementRequest(aNow), standby, aNow);
  mStandbys.push_back(standby);
  if (aKind == StandbyKind::Hedge) {
    mCore.metrics.hedgesSent.add();
  }
  mCore.log.write(telemetry::EventClass::Routine,
                  nameOf(aKind) + "_sent",
                  { { "id", mFacts.attemptId },
                    { "route", mRouted.route->name },
                    { "first", mSend.endpoint->record.id },
                    { "endpoint", standby->send.endpoint->record.id },
                    { "events", std::to_string(mEventCount) },
                    { "after_ms", milliseconds(aNow - mSend.sentAt) },
                    { "silent_ms", milliseconds(aNow - mProgressAt) },
                    { "left_ms", milliseconds(mDeadline - aNow) } },
                  aNow);
  startSend(standby->send, aNow);
}

std::shared_ptr<StandbySend> Call::standby(serving::SourceId aSource) const
{
  auto found = std::ranges::find_if(
    mStandbys, [&](const auto& aStandby) { return aStandby->send.source == aSource; });
  return found == mStandbys.end() ? nullptr : *found;
}

void Call::scheduleHedge(base::TimePoint aNow)
{
  if (!mRouted.route->mayRepeat() || mStreamBegan) {
    return;
  }
  auto delay = mCore.hedges.delay(mRouted.route->name, mPredictedMs, aNow);
  if (!delay) {
    return;
  }
  if (!mHedgeTimer) {
    mHedgeTimer.emplace(mCore.io);
  }
  mHedgeTimer->expires_at(aNow + *delay);
  mHedgeTimer->async_wait([weak = weak_from_this(), source = mSend.source](ErrorCode aError) {
    auto self = weak.lock();
    if (aError || !self || self->mDone || !self->mSend.exchange || self->mSend.source != source) {
      return;
    }
    auto now = std::chrono::steady_clock::now();
    self->mCore.hedges.recordOverdue(self->mRouted.route->name, now);
    self->tryHedge(now);
  });
}

serving::HedgeTarget Call::hedgeTarget(const serving::Placement& aPlacement,
                                       base::TimePoint aNow) const
{
  serving::HedgeTarget target;
  if (!aPlacement.endpoint) {
    return target;
  }
  const serving::Endpoint& endpoint = *aPlacement.endpoint;
  int slots = mRouted.service->engine ? mRouted.service->engine->slots : endpoint.record.slots;
  target.isKnown = true;
  target.isSuitable = !endpoint.isCold(aNow) && !endpoint.isLapsed && !endpoint.leaveKnownAt &&
                      aNow >= endpoint.pausedUntil && !endpoint.limit.perSecond() &&
                      !(endpoint.report && endpoint.report->switchesSoon);
  target.loadShare =
    static_cast<double>(serving::EndpointSet::load(endpoint, aNow)) / std::max(1, slots);
  return target;
}

void Call::tryHedge(base::TimePoint aNow)
{
  if (!mCore.hedges.isEnabled() || mStreamBegan || !mStandbys.empty() ||
      !mRouted.route->mayRepeat()) {
    return;
  }
  serving::HedgeCandidate candidate;
  candidate.route = mRouted.route->name;
  candidate.service = mRouted.service->name;
  candidate.mayRepeat = mRouted.route->mayRepeat();
  candidate.hasBegun = mSendHadEvent || (mHead && !mIsStream) || mSend.exchange->isAnswerArriving();
  candidate.hasCallerLeft = mDone;
  candidate.isSuspected = mCore.suspects.isSuspected(mFingerprint, aNow) ||
                          mCore.quarantine.hasCrashed(mFacts.sharedParts) || isQuarantined(aNow);
  candidate.possibleRuns = mSources.possibleRuns();
  candidate.maxAttempts =
    std::min(mRouted.route->maxAttempts,
             mSources.possibleRuns() + serving::AnswerSources::kMaxSends - mSources.sends());
  candidate.timeLeft = mDeadline - aNow;
  auto obstacle = mCore.hedges.obstacleToRequest(candidate, aNow);
  serving::Placement placement;
  if (obstacle == serving::HedgeObstacle::None) {
    placement = mCore.endpoints.choose(placementRequest(aNow), aNow, mCore.rng);
    obstacle =
      mCore.hedges.tryHedge(candidate, hedgeTarget(placement, aNow), mCore.retryBudget, aNow);
  }
  if (obstacle != serving::HedgeObstacle::None) {
    mCore.metrics.hedgesNotSent[static_cast<size_t>(obstacle)]->add();
    mCore.log.write(telemetry::EventClass::Routine,
                    "hedge_not_sent",
                    { { "id", mFacts.attemptId },
                      { "route", mRouted.route->name },
                      { "reason", std::string(serving::toString(obstacle)) },
                      { "after_ms", milliseconds(aNow - mSend.sentAt) } },
                    aNow);
    return;
  }
  sendStandby(StandbyKind::Hedge, placement, aNow);
}

void Call::recordSendTime(base::TimePoint aNow)
{
  if (!mRouted.route->mayRepeat() || mStreamBegan) {
    return;
  }
  mCore.hedges.recordLatency(mRouted.route->name,
                             mSend.endpoint->record.id,
                             aNow - mSend.sentAt,
                             mSend.occupancy.predictedMs,
                             aNow);
}

void Call::onStandbySent(StandbySend& aStandby)
{
  recordSent(aStandby.send);
}

void Call::onStandbyLateHead(StandbySend& aStandby, const AnswerHead& aHead)
{
  recordEndpointState(aHead, aStandby.send, std::chrono::steady_clock::now());
}

void Call::onStandbyHead(StandbySend& aStandby, const AnswerHead& aHead)
{
  auto now = std::chrono::steady_clock::now();
  const Send& send = aStandby.send;
  mCore.recordLife(*send.endpoint, send.exchange->connectionOpenedAt(), now);
  recordEndpointState(aHead, send, now);
  recordLimit(aHead, send, now);
  aStandby.head = aHead;
  if (aHead.status / 100 != 2) {
    return;
  }
  if (!aHead.facts.isSigned || aHead.facts.isEncoded) {
    standbyFailed(aStandby, { Outcome::Broken, true, "unsigned_answer" }, now);
    return;
  }
  aStandby.isStream = headerValue(aHead.headers, "Content-Type").starts_with(kEventStream);
  if (mStreamBegan && !aStandby.isStream) {
    standbyFailed(aStandby, { Outcome::Broken, true, "not_a_stream" }, now);
  }
}

void Call::onStandbyBody(StandbySend& aStandby, std::string_view aBytes)
{
  auto now = std::chrono::steady_clock::now();
  aStandby.bytes += aBytes;
  if (!aStandby.isStream) {
    chargeAnswer(now);
    return;
  }
  aStandby.splitter.feed(aBytes);
  while (auto event = aStandby.splitter.next()) {
    if (!event->hasFields || (event->id && mLastEvent && *event->id <= *mLastEvent)) {
      continue; // The caller of a resumed stream has the event.
    }
    if (containsHead(event->text)) {
      standbyFailed(aStandby, { Outcome::Broken, true, "head_in_stream" }, now);
    } else if (!event->id && mStreamBegan) {
      standbyFailed(aStandby, { Outcome::Broken, true, "event_without_id" }, now);
    } else if (event->id && mLastEvent && *event->id != *mLastEvent + 1) {
      standbyFailed(aStandby, { Outcome::Broken, true, "event_missing" }, now);
    } else {
      standbyDelivered(aStandby, now);
    }
    return;
  }
  if (aStandby.splitter.pending().size() > kMaxEventBytes) {
    standbyFailed(aStandby, { Outcome::Broken, true, "event_too_large" }, now);
    return;
  }
  chargeAnswer(now);
}

void Call::onStandbyEnd(StandbySend& aStandby, ExchangeEnd aEnd)
{
  auto now = std::chrono::steady_clock::now();
  const auto& head = aStandby.head;
  if (aEnd == ExchangeEnd::Complete && head) {
    auto failure = failureOf(*head);
    if (aStandby.isStream && aStandby.splitter.isInsideEvent()) {
      standbyFailed(aStandby, { Outcome::Broken, true, "event_cut" }, now);
    } else if (head->status / 100 != 2 && failure) {
      if (mayPassOn(*head)) {
        mAnsweredError.emplace(*head, aStandby.bytes);
      }
      standbyFailed(aStandby, *failure, now);
    } else if (mStreamBegan) {
      // Only a new event continues a stream.
      std::string reason =
        aStandby.isStream ? "no_new_event" : "answered_" + std::to_string(head->status);
      standbyFailed(aStandby, { Outcome::Success, true, std::move(reason) }, now);
    } else {
      auto exchange = aStandby.send.exchange;
      standbyDelivered(aStandby, now);
      if (mSend.exchange == exchange) { // Not given up for its bytes meanwhile.
        onEnd(aEnd);
      }
    }
    return;
  }
  if (aEnd == ExchangeEnd::ConnectFailed) {
    standbyFailed(aStandby, { Outcome::Silent, false, "connect_failed" }, now);
    return;
  }
  if (aEnd == ExchangeEnd::CutShort) {
    mCore.reportCrash({ mFingerprint,
                        aStandby.send.endpoint->crashKey(),
                        mCore.quarantine.unproved(mFacts.sharedParts, now) },
                      aStandby.send.sentAt,
                      now);
  }
  standbyFailed(aStandby, { Outcome::Broken, true, std::string(toString(aEnd)) }, now);
}

void Call::standbyDelivered(StandbySend& aStandby, base::TimePoint aNow)
{
  auto delivered = standby(aStandby.send.source);
  if (aStandby.kind == StandbyKind::Hedge) {
    mCore.metrics.hedgesWon.add();
  }
  mCore.log.write(telemetry::EventClass::Routine,
                  nameOf(aStandby.kind) + "_won",
                  { { "id", mFacts.attemptId },
                    { "first", mSend.endpoint->record.id },
                    { "endpoint", aStandby.send.endpoint->record.id },
                    { "first_ms", milliseconds(aNow - mSend.sentAt) },
                    { "after_ms", milliseconds(aNow - aStandby.send.sentAt) } },
                  aNow);
  recordSendTime(aNow);
  bool wasSilent = mSources.isCurrentSilent(aNow);
  for (serving::SourceId other : mSources.deliver(aStandby.send.source, aNow)) {
    if (other == mSend.source) {
      bool mayHaveRun = !mSend.exchange->isConnecting();
      mSend.exchange->abort();
      endSend(wasSilent ? Outcome::Silent : Outcome::Overtaken, mayHaveRun, aNow);
    } else {
      auto late = standby(other);
      standbyFailed(
        *late, { Outcome::Abandoned, !late->send.exchange->isConnecting(), "cancelled" }, aNow);
    }
  }
  adopt(std::move(delivered), aNow);
}

void Call::adopt(std::shared_ptr<StandbySend> aStandby, base::TimePoint aNow)
{
  std::erase(mStandbys, aStandby);
  mAdopted = std::move(aStandby);
  mAdopted->isAdopted = true;
  mSend = std::move(mAdopted->send);
  mProgressAt = mSend.sentAt;
  mHead = std::move(mAdopted->head);
  mIsStream = mAdopted->isStream;
  mBody = {};
  mSplitter.restart();
  mEarlyComments.clear();
  mSendHadEvent = false;
  mSendEvents = 0;
  mSendLastEvent.reset();
  std::string bytes = std::move(mAdopted->bytes);
  mAdopted->bytes = {};
  mAdopted->splitter.restart();
  takeBody(bytes, aNow);
}

void Call::cancelStandbys(base::TimePoint aNow)
{
  while (!mStandbys.empty()) {
    auto standby = mStandbys.back();
    standbyFailed(
      *standby, { Outcome::Abandoned, !standby->send.exchange->isConnecting(), "cancelled" }, aNow);
  }
}

void Call::standbyFailed(StandbySend& aStandby, const SendResult& aResult, base::TimePoint aNow)
{
  auto failed = standby(aStandby.send.source); // Its exchange may be calling this function.
  std::erase(mStandbys, failed);
  failed->send.exchange->abort();
  mSources.end(failed->send.source, aResult.mayHaveRun);
  mCore.endpoints.finished(*failed->send.endpoint, failed->send.occupancy, aResult.outcome, aNow);
  if (failed->kind == StandbyKind::Hedge) {
    mCore.metrics.hedgesLost.add();
  }
  mCore.log.write(telemetry::EventClass::Routine,
                  nameOf(failed->kind) + "_lost",
                  { { "id", mFacts.attemptId },
                    { "endpoint", failed->send.endpoint->record.id },
                    { "reason", aResult.reason },
                    { "may_have_run", aResult.mayHaveRun ? "yes" : "no" },
                    { "after_ms", milliseconds(aNow - failed->send.sentAt) } },
                  aNow);
}

void Call::onCallerLeft()
{
  if (mDone) {
    return;
  }
  mDone = true;
  auto now = std::chrono::steady_clock::now();
  mCore.metrics.abandoned.add();
  logEnd(telemetry::EventClass::Refused, "abandoned", 0, "caller_left", now);
  cancelStandbys(now);
  if (mSend.exchange) {
    auto exchange = mSend.exchange;
    exchange->abort();
    endSend(Outcome::Abandoned, true, now);
  }
}

void Call::logUnfinished(base::TimePoint aNow)
{
  if (!mDone) {
    logEnd(telemetry::EventClass::Refused, "unfinished", 0, "end_of_process", aNow);
  }
}

void Call::giveUp(base::TimePoint aNow, std::string_view aReason)
{
  if (mIsLimitedByStop && mSources.endedRuns() > 0) {
    mCore.metrics.cutByStop.add();
  }
  if (mStreamBegan) {
    mDone = true;
    mCore.metrics.failed.add();
    logEnd(telemetry::EventClass::Refused, "cut", 0, aReason, aNow);
    mSession.endStream(false);
    return;
  }
  if (mAnsweredError) {
    mDone = true;
    mCore.metrics.failed.add();
    logEnd(telemetry::EventClass::Refused, "failed", mAnsweredError->first.status, aReason, aNow);
    mSession.respond(
      mAnsweredError->first.status, answerHeaders(mAnsweredError->first), mAnsweredError->second);
    return;
  }
  if (mSources.endedRuns() == 0) {
    refuse(aReason, aNow);
  } else {
    fail(aReason == "deadline" ? 504 : 502, aReason, aNow);
  }
}

void Call::reject(int aStatus, std::string_view aReason, base::TimePoint aNow)
{
  mDone = true;
  mCore.metrics.rejected.add();
  logEnd(telemetry::EventClass::Refused, "rejected", aStatus, aReason, aNow);
  mSession.respond(aStatus, {}, {});
}

void Call::refuse(std::string_view aReason, base::TimePoint aNow)
{
  mDone = true;
  mCore.metrics.refused.add();
  auto retryDelay = retryAfter(aReason, mRouted, mAdmission, mUnavailableFor, mCore.rng);
  logEnd(telemetry::EventClass::Refused, "refused", 503, aReason, aNow);
  mSession.respond(503, { { "Retry-After", seconds(retryDelay) } }, {});
}

void Call::fail(int aStatus, std::string_view aReason, base::TimePoint aNow)
{
  mDone = true;
  mCore.metrics.failed.add();
  logEnd(telemetry::EventClass::Refused, "failed", aStatus, aReason, aNow);
  mSession.respond(aStatus, {}, {});
}

void Call::deliver(const AnswerHead& aHead, std::string_view aBody, base::TimePoint aNow)
{
  mDone = true;
  mCore.metrics.served.add();
  mCore.metrics.total.record(aNow - mRequest.received);
  logEnd(telemetry::EventClass::Routine, "served", aHead.status, "", aNow);
  mSession.respond(aHead.status, answerHeaders(aHead), aBody);
}

HeaderLines Call::answerHeaders(const AnswerHead& aHead) const
{
  HeaderLines lines;
  for (const HeaderLine& line : aHead.headers) {
    if (!isHopByHop(line.name)) {
      lines.push_back(line);
    }
  }
  return lines;
}

void Call::logEnd(telemetry::EventClass aWeight,
                  std::string_view aOutcome,
                  int aStatus,
                  std::string_view aReason,
                  base::TimePoint aNow)
{
  std::string firstMs =
    mFirstEventAt ? milliseconds(*mFirstEventAt - mRequest.received) : std::string("-");
  std::string refusedFor = mAdmission.isAdmitted ? "-" : std::to_string(mAdmission.refusedFor);
  mCore.log.write(
    aWeight,
    "request",
    { { "id", mFacts.attemptId },
      { "route", mRouted.route != nullptr ? mRouted.route->name : "-" },
      { "outcome", std::string(aOutcome) },
      { "status", std::to_string(aStatus) },
      { "reason", aReason.empty() ? "-" : std::string(aReason) },
      { "config", std::to_string(mDeployment ? mDeployment->version() : 0) },
      { "priority", mRouted.route != nullptr ? std::to_string(mRouted.priority) : "-" },
      { "admitted_share", decimal(mAdmission.share) },
      { "refused_for", refusedFor },
      { "endpoint", mSend.endpoint ? mSend.endpoint->record.id : "-" },
      { "believed", std::to_string(mSend.believedVersion) },
      { "candidates", std::to_string(mCandidates) },
      { "best_ms", std::to_string(std::lround(mPredictedMs)) },
      { "load", std::to_string(mSend.load) },
      { "predicted_ms", std::to_string(std::lround(mSend.occupancy.predictedMs)) },
      { "late", mSources.endedRuns() > 0 ? "yes" : "no" },
      { "report_age_ms", milliseconds(mSend.reportAge) },
      { "list_age_ms", milliseconds(mSend.listAge) },
      { "lapsed", mSend.wasLapsed ? "yes" : "no" },
      { "write_ms", milliseconds(mSend.writeTime) },
      { "sends", std::to_string(mSources.sends()) },
      { "given_up", std::to_string(mGivenUp) },
      { "events", std::to_string(mEventCount) },
      { "first_ms", firstMs },
      { "gap_ms", milliseconds(mLongestGap) },
      { "ms", milliseconds(aNow - mRequest.received) },
      { "time_ms", milliseconds(mDeadline - mRequest.received) },
      { "limit", mIsLimitedByStop ? "stop" : "caller" },
      { "stop_ms", milliseconds(mCore.stop.elapsed(aNow)) } },
    aNow);
  if (aStatus / 100 == 2) {
    mCore.durations.record(mRouted.route->name, aNow - mRequest.received, aNow);
  } else if (mSources.sends() > 0) {
    mCore.durations.recordUnanswered(mRouted.route->name, aNow - mRequest.received, aNow);
  }
}

} // namespace boragepitch::relay
