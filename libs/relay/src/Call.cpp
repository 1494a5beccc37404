#include "Call.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include <boost/algorithm/string/predicate.hpp>

#include "serving/RetryAdvice.h"

namespace boragepitch::relay {

namespace {

using namespace std::chrono_literals;
using serving::CallKind;
using serving::Outcome;

/** A connection inside the deployment is made within a few milliseconds; a lost packet is sent
 * again only after a second, so that another endpoint is the better choice. */
constexpr base::Milliseconds kConnectLimit = 300ms;
/** Patience with an endpoint from which no event came, in latency targets, and its least value.
 * Under full load a first event may take twice the target. */
constexpr int kFirstEventTargets = 3;
constexpr base::Milliseconds kFirstEventLeast = 1000ms;
/** Patience with a stream that stopped, in gap targets: callers leave after eight. */
constexpr int kGapTargets = 4;
constexpr base::Milliseconds kGapLeast = 1000ms;
/** Patience with an idempotent call, in latency targets. */
constexpr int kPlainTargets = 3;
constexpr base::Milliseconds kPlainLeast = 250ms;
/** Sends of one request, rejected ones included. */
constexpr int kMaxSends = 4;
/** Time that must be left for another send to be of use. */
constexpr base::Milliseconds kLeastTimeLeft = 60ms;
/** Connections that were idle longer are not used for what may run once only: one that was dropped
 * unnoticed would leave it unknown whether the request ran. */
constexpr base::Milliseconds kFreshIdle = 500ms;
constexpr base::Milliseconds kAnyIdle = 60000ms;
/** Largest event of a stream. Above it an endpoint is taken to send without end. */
constexpr size_t kMaxEventBytes = 1 << 20;
/** Bytes that a slow caller may leave untaken before the endpoint is slowed down. */
constexpr size_t kBacklogHigh = 256 << 10;
constexpr int kHighestPriority = 0;
constexpr int kLowestPriority = 9;
constexpr std::string_view kEventStream = "text/event-stream";

std::string seconds(base::Milliseconds aTime)
{
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", std::chrono::duration<double>(aTime).count());
  return text;
}

std::string milliseconds(base::Duration aTime)
{
  return std::to_string(base::toMilliseconds(aTime));
}

std::string_view pathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

std::string_view hostName(std::string_view aHost)
{
  return aHost.substr(0, aHost.rfind(':'));
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
  if (mExchange) {
    mExchange->abort();
    mCore.endpoints.finished(
      *mEndpoint, mOccupancy, Outcome::Abandoned, std::chrono::steady_clock::now());
  }
}

void Call::start(base::TimePoint aNow)
{
  mFacts = mCore.dialect.readRequest(mRequest.headers);
  mDeployment = mCore.deployment;
  if (admit(aNow)) {
    send(aNow);
  }
}

bool Call::admit(base::TimePoint aNow)
{
  if (!mDeployment) {
    refuse("no_configuration", aNow);
    return false;
  }
  mRoute = mDeployment->match(hostName(mRequest.host), pathOf(mRequest.target));
  if (mRoute == nullptr) {
    reject(404, "no_route", aNow);
    return false;
  }
  if (!checkKey()) {
    reject(401, "unknown_key", aNow);
    return false;
  }
  mDeadline = mRequest.received + base::Duration(mRoute->timeout);
  if (mFacts.timeLeft) {
    mDeadline = std::min(mDeadline, mRequest.received + base::Duration(*mFacts.timeLeft));
  }
  mFirstDue = mRequest.received + base::Duration(mRoute->latencyTarget);
  mService = pickService();
  if (mService == nullptr) {
    refuse("no_service", aNow);
    return false;
  }
  mLastEvent = mFacts.lastEvent;
  mCore.ledger.recordRequest(mService->name, aNow);
  mFingerprint = serving::requestFingerprint(mRequest.target, mFacts.key, mRequest.body);
  if (mCore.suspects.isQuarantined(mFingerprint, aNow)) {
    fail(500, "quarantined", aNow);
    return false;
  }
  return true;
}

bool Call::checkKey()
{
  if (!mDeployment->requiresKeys() || mRoute->isPublic) {
    return true;
  }
  mWorkspace = mDeployment->workspaceOf(mFacts.key);
  return mWorkspace != nullptr;
}

const serving::Service* Call::pickService()
{
  double total = 0;
  for (const auto& part : mRoute->services) {
    total += part.weight;
  }
  double draw = std::uniform_real_distribution<double>(0, std::max(total, 1e-9))(mCore.rng);
  for (const auto& part : mRoute->services) {
    draw -= part.weight;
    if (draw < 0 || &part == &mRoute->services.back()) {
      return mDeployment->service(part.service);
    }
  }
  return nullptr;
}

serving::PlacementRequest Call::placementRequest(base::TimePoint aNow) const
{
  serving::PlacementRequest request;
  request.route = mRoute;
  request.service = mService;
  request.workspace = mWorkspace;
  request.excluded = mTried;
  request.promptTokens = mFacts.promptTokens;
  request.firstEventBudget = mFirstDue - aNow;
  // What was sent before is served late rather than refused.
  request.urgency = mBegan       ? serving::Urgency::Continued
                    : mSends > 0 ? serving::Urgency::Late
                                 : serving::Urgency::Ordinary;
  if (mService->engine) {
    request.minWeightVersion = mCore.requiredVersion(mFacts.model, aNow);
    request.newestWeightVersion = mCore.newestVersion(mFacts.model);
  }
  return request;
}

serving::Placement Call::choose(base::TimePoint aNow)
{
  auto placement = mCore.endpoints.choose(placementRequest(aNow), aNow, mCore.rng);
  mPausedFor = placement.pausedFor;
  return placement;
}

void Call::send(base::TimePoint aNow)
{
  auto request = placementRequest(aNow);
  auto placement = choose(aNow);
  mCandidates = placement.candidates;
  mBestMs = placement.predictedMs;
  if (!placement.endpoint) {
    giveUp(aNow, serving::toString(placement.refusal));
    return;
  }
  mEndpoint = placement.endpoint;
  const auto& record = mEndpoint->record;
  ++mSends;
  mTried.push_back(record.id);
  mHead.reset();
  mBody.clear();
  mIsStream = false;
  mSendHadEvent = false;
  mSendLastEvent.reset();
  mSplitter.restart();
  mSentAt = aNow;
  mProgressAt = aNow;
  mLoadAtSend = serving::EndpointSet::load(*mEndpoint, aNow);
  mReportAge = mEndpoint->report ? aNow - mEndpoint->reportedAt : base::Duration(-1);
  mListAge = mCore.listAge(aNow);
  mWriteTime = base::Duration(-1);
  mWasLapsed = mEndpoint->isLapsed;
  mOccupancy = mCore.endpoints.started(placement, request, aNow);
  ExchangeRequest exchange;
  exchange.endpoint = record.id;
  exchange.address = record.address;
  exchange.attemptId = mFacts.attemptId;
  exchange.isHead = mRequest.method == "HEAD";
  exchange.maxIdle = mRoute->mayRepeat() ? kAnyIdle : kFreshIdle;
  mExchange = std::make_shared<Exchange>(
    mCore.io, mCore.pool, mCore.dialect, std::move(exchange), weak_from_this());
  mExchange->start(forwardMessage(aNow), aNow);
  if (mExchange->isNewConnection()) {
    mCore.metrics.connects.add();
  }
}

std::string Call::forwardMessage(base::TimePoint aNow) const
{
  ForwardFacts facts;
  facts.endpointId = mEndpoint->record.id;
  facts.timeLeft = std::chrono::duration_cast<base::Milliseconds>(mDeadline - aNow);
  facts.workspace = mWorkspace != nullptr ? mWorkspace->name : "";
  facts.priority = mRoute->priority;
  if (mWorkspace != nullptr && mWorkspace->priority) {
    facts.priority = *mWorkspace->priority;
  }
  facts.priority = std::clamp(facts.priority, 0, kLowestPriority);
  if (mBegan) {
    // Its caller is reading: a pause shows at once.
    facts.priority = kHighestPriority;
  }
  facts.lastEvent = mLastEvent;
  if (mService->engine) {
    if (mCore.requiredVersion(mFacts.model, aNow) != 0) {
      facts.weightVersion = mEndpoint->weightVersion();
    }
  }
  HeaderLines headers = mRequest.headers;
  mCore.dialect.writeForward(headers, facts);
  std::string text = mRequest.method + " " + mRequest.target + " HTTP/1.1\r\n";
  for (const HeaderLine& line : headers) {
    text += line.name;
    text += ": ";
    text += line.value;
    text += "\r\n";
  }
  if (!mRequest.body.empty() || mRequest.method == "POST" || mRequest.method == "PUT") {
    text += "Content-Length: " + std::to_string(mRequest.body.size()) + "\r\n";
  }
  text += "\r\n";
  text += mRequest.body;
  return text;
}

void Call::onSent()
{
  auto now = std::chrono::steady_clock::now();
  mWriteTime = now - mSentAt;
  if (!mEndpoint->leaveKnownAt) {
    return;
  }
  mCore.metrics.sentAfterLeave.add();
  mCore.log.write(telemetry::EventClass::Refused,
                  "sent_after_leave",
                  { { "id", mFacts.attemptId },
                    { "endpoint", mEndpoint->record.id },
                    { "lapsed", mWasLapsed ? "yes" : "no" },
                    { "known_ms", milliseconds(now - *mEndpoint->leaveKnownAt) },
                    { "write_ms", milliseconds(mWriteTime) },
                    { "list_age_ms", milliseconds(mListAge) } },
                  now);
}

void Call::noteEndpoint(const AnswerHead& aHead, base::TimePoint aNow)
{
  if (aHead.facts.retryAfter) {
    serving::EndpointSet::pause(*mEndpoint, *aHead.facts.retryAfter, aNow);
  }
  if (!aHead.facts.isLeaving || !serving::EndpointSet::announceLeave(*mEndpoint, aNow)) {
    return;
  }
  mCore.pool.dropEndpoint(mEndpoint->record.id);
  mCore.log.write(telemetry::EventClass::Critical,
                  "endpoint_announced_leave",
                  { { "endpoint", mEndpoint->record.id },
                    { "id", mFacts.attemptId },
                    { "listed_as", mEndpoint->record.isDraining ? "draining" : "ready" },
                    { "list_age_ms", milliseconds(mCore.listAge(aNow)) } },
                  aNow);
}

void Call::onLateHead(const AnswerHead& aHead)
{
  noteEndpoint(aHead, std::chrono::steady_clock::now());
}

void Call::onHead(const AnswerHead& aHead)
{
  mHead = aHead;
  noteEndpoint(aHead, std::chrono::steady_clock::now());
  if (aHead.status / 100 != 2) {
    return;
  }
  if (!aHead.facts.isSigned || aHead.facts.isEncoded) {
    abortSend({ Outcome::Broken, true, "unsigned_answer" }, std::chrono::steady_clock::now());
    return;
  }
  if (aHead.facts.weightVersion) {
    mCore.endpoints.noteVersion(*mEndpoint, *aHead.facts.weightVersion);
  }
  mIsStream = headerValue(aHead.headers, "Content-Type").starts_with(kEventStream);
}

void Call::onBody(std::string_view aBytes)
{
  auto now = std::chrono::steady_clock::now();
  if (!mIsStream) {
    mBody += aBytes;
    return;
  }
  mSplitter.feed(aBytes);
  while (mExchange) {
    auto event = mSplitter.next();
    if (!event) {
      break;
    }
    takeEvent(*event, now);
  }
  if (mExchange && mSplitter.pending() > kMaxEventBytes) {
    abortSend({ Outcome::Broken, true, "event_too_large" }, now);
  }
}

void Call::takeEvent(const serving::StreamEvent& aEvent, base::TimePoint aNow)
{
  if (aEvent.id && mSendLastEvent && *aEvent.id <= *mSendLastEvent) {
    abortSend({ Outcome::Broken, true, "event_repeated" }, aNow);
    return;
  }
  mSendLastEvent = aEvent.id ? aEvent.id : mSendLastEvent;
  if (aEvent.id && mLastEvent) {
    if (*aEvent.id <= *mLastEvent) {
      return; // Sent before the stream was resumed.
    }
    if (*aEvent.id != *mLastEvent + 1) {
      abortSend({ Outcome::Broken, true, "event_missing" }, aNow);
      return;
    }
  }
  if (!mSendHadEvent) {
    mSendHadEvent = true;
    mCore.endpoints.firstEvent(*mEndpoint, mOccupancy, aNow - mSentAt);
  }
  if (!mBegan) {
    mBegan = true;
    mFirstEventAt = aNow;
    mCore.metrics.firstByte.record(aNow - mRequest.received);
    mSession.beginStream(mHead->status, answerHeaders(*mHead));
  } else {
    mLongestGap = std::max(mLongestGap, aNow - mProgressAt);
  }
  if (aEvent.id) {
    mLastEvent = aEvent.id;
  }
  ++mEvents;
  mProgressAt = aNow;
  mSession.writeStream(aEvent.text);
  if (mExchange && mSession.backlog() > kBacklogHigh) {
    mExchange->setPaused(true);
  }
}

void Call::onCallerDrained()
{
  if (mExchange) {
    mExchange->setPaused(false);
  }
}

void Call::onEnd(ExchangeEnd aEnd)
{
  auto now = std::chrono::steady_clock::now();
  if (aEnd == ExchangeEnd::Complete && mHead) {
    if (mIsStream && mSplitter.pending() > 0) {
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
  if (aEnd == ExchangeEnd::CutShort && !mHead) {
    serving::CrashEvidence evidence{
      mFingerprint, mEndpoint->record.id + "/" + std::to_string(mEndpoint->record.born)
    };
    if (mCore.suspects.record(evidence, now)) {
      mCore.shareCrash(evidence);
    }
  }
  sendFailed({ Outcome::Broken, true, std::string(toString(aEnd)) }, now);
}

void Call::completed(base::TimePoint aNow)
{
  endSend(Outcome::Success, aNow);
  mCore.suspects.clear(mFingerprint);
  if (!mIsStream && mBegan) {
    // A resumed stream cannot end with an answer of another kind.
    sendFailed({ Outcome::Broken, true, "not_a_stream" }, aNow);
    return;
  }
  if (!mIsStream) {
    mCore.metrics.firstByte.record(aNow - mRequest.received);
    deliver(*mHead, mBody, aNow);
    return;
  }
  if (!mBegan) {
    mBegan = true;
    mSession.beginStream(mHead->status, answerHeaders(*mHead));
  }
  mDone = true;
  mCore.metrics.served.add();
  mCore.metrics.total.record(aNow - mRequest.received);
  logEnd(telemetry::EventClass::Routine, "served", mHead->status, "", aNow);
  mSession.endStream(true);
}

void Call::failureAnswered(base::TimePoint aNow)
{
  int status = mHead->status;
  bool notRun = mHead->facts.notRun || status == 421;
  if (status == 421) {
    sendFailed({ Outcome::Misdirected, false, "misdirected" }, aNow);
  } else if (notRun) {
    sendFailed({ Outcome::Rejected, false, "rejected_" + std::to_string(status) }, aNow);
  } else if (status >= 500) {
    if (mHead->facts.isSigned) {
      mFailure.emplace(*mHead, mBody);
    }
    sendFailed({ Outcome::Failure, true, "answered_" + std::to_string(status) }, aNow);
  } else {
    endSend(Outcome::Success, aNow);
    deliver(*mHead, mBody, aNow);
  }
}

void Call::endSend(Outcome aOutcome, base::TimePoint aNow)
{
  mExchange.reset();
  mCore.endpoints.finished(*mEndpoint, mOccupancy, aOutcome, aNow);
}

void Call::abortSend(const SendResult& aResult, base::TimePoint aNow)
{
  // The exchange may be the caller of this function: it must outlive the call.
  auto exchange = mExchange;
  exchange->abort();
  sendFailed(aResult, aNow);
}

void Call::sendFailed(const SendResult& aResult, base::TimePoint aNow)
{
  if (mExchange) {
    endSend(aResult.outcome, aNow);
  }
  if (aResult.mayHaveRun) {
    ++mRuns;
  }
  std::string_view obstacle = obstacleToRetry(aResult, aNow);
  bool again = obstacle.empty();
  mCore.log.write(
    telemetry::EventClass::Refused,
    "send_failed",
    { { "id", mFacts.attemptId },
      { "endpoint", mEndpoint->record.id },
      { "reason", aResult.reason },
      { "may_have_run", aResult.mayHaveRun ? "yes" : "no" },
      { "events", std::to_string(mEvents) },
      { "sends", std::to_string(mSends) },
      { "after_ms", milliseconds(aNow - mSentAt) },
      { "retry_after_ms",
        mHead && mHead->facts.retryAfter ? milliseconds(*mHead->facts.retryAfter) : "-" },
      { "again", again ? "yes" : "no" },
      { "obstacle", again ? "-" : std::string(obstacle) } },
    aNow);
  if (!again) {
    giveUp(aNow, aResult.reason);
    return;
  }
  mCore.metrics.repeats.add();
  if (mBegan) {
    mCore.metrics.resumes.add();
  }
  send(aNow);
}

std::string_view Call::obstacleToRetry(const SendResult& aResult, base::TimePoint aNow)
{
  if (mSends >= kMaxSends || mDeadline - aNow < kLeastTimeLeft) {
    return "no_time";
  }
  if (mRuns > 0 && (!mRoute->mayRepeat() || mRuns >= mRoute->maxAttempts)) {
    return "attempts";
  }
  if (mBegan && !mLastEvent) {
    return "no_event_ids"; // There is no place to continue at.
  }
  if (aResult.mayHaveRun && mCore.suspects.isQuarantined(mFingerprint, aNow)) {
    return "quarantined";
  }
  if (!choose(aNow).endpoint) {
    return "no_endpoint";
  }
  return mCore.ledger.tryRetry(mService->name, aNow) ? "" : "budget";
}

base::Duration Call::patience() const
{
  if (mRoute->kind == CallKind::Streaming) {
    return mSendHadEvent ? std::max<base::Duration>(kGapLeast, kGapTargets * mRoute->gapTarget)
                         : std::max<base::Duration>(kFirstEventLeast,
                                                    kFirstEventTargets * mRoute->latencyTarget);
  }
  return std::max<base::Duration>(kPlainLeast, kPlainTargets * mRoute->latencyTarget);
}

void Call::tick(base::TimePoint aNow)
{
  if (mDone || !mExchange) {
    return;
  }
  if (mExchange->isConnecting() && aNow - mSentAt > kConnectLimit) {
    abortSend({ Outcome::Silent, false, "connect_timeout" }, aNow);
    return;
  }
  if (aNow >= mDeadline) {
    bool sent = !mExchange->isConnecting();
    auto exchange = mExchange;
    exchange->abort();
    endSend(Outcome::Silent, aNow);
    mRuns += sent ? 1 : 0;
    giveUp(aNow, "deadline");
    return;
  }
  bool impatient =
    mRoute->mayRepeat() && mRuns + 1 < mRoute->maxAttempts && aNow - mProgressAt > patience();
  // Without another endpoint the silent one is the best hope.
  if (impatient && choose(aNow).endpoint && mCore.ledger.remaining(mService->name, aNow) >= 1) {
    abortSend({ Outcome::Silent, true, mSendHadEvent ? "stream_stalled" : "no_answer" }, aNow);
  }
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
  if (mExchange) {
    auto exchange = mExchange;
    exchange->abort();
    endSend(Outcome::Abandoned, now);
  }
}

void Call::giveUp(base::TimePoint aNow, std::string_view aReason)
{
  if (mBegan) {
    mDone = true;
    mCore.metrics.failed.add();
    logEnd(telemetry::EventClass::Refused, "cut", 0, aReason, aNow);
    mSession.endStream(false);
    return;
  }
  if (mFailure) {
    mDone = true;
    mCore.metrics.failed.add();
    logEnd(telemetry::EventClass::Refused, "failed", mFailure->first.status, aReason, aNow);
    mSession.respond(mFailure->first.status, answerHeaders(mFailure->first), mFailure->second);
    return;
  }
  if (mRuns == 0) {
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
  bool missing = mService == nullptr || aReason == toString(serving::Refusal::NoEndpoint);
  auto after = missing ? serving::retryAfterMissing() : serving::retryAfterFull(mCore.rng);
  after += std::chrono::ceil<base::Milliseconds>(mPausedFor);
  logEnd(telemetry::EventClass::Refused, "refused", 503, aReason, aNow);
  mSession.respond(503, { { "Retry-After", seconds(after) } }, {});
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
  mCore.log.write(aWeight,
                  "request",
                  { { "id", mFacts.attemptId },
                    { "route", mRoute != nullptr ? mRoute->name : "-" },
                    { "outcome", std::string(aOutcome) },
                    { "status", std::to_string(aStatus) },
                    { "reason", aReason.empty() ? "-" : std::string(aReason) },
                    { "config", std::to_string(mDeployment ? mDeployment->version() : 0) },
                    { "endpoint", mEndpoint ? mEndpoint->record.id : "-" },
                    { "candidates", std::to_string(mCandidates) },
                    { "best_ms", std::to_string(std::lround(mBestMs)) },
                    { "load", std::to_string(mLoadAtSend) },
                    { "predicted_ms", std::to_string(std::lround(mOccupancy.predictedMs)) },
                    { "late", mRuns > 0 ? "yes" : "no" },
                    { "report_age_ms", milliseconds(mReportAge) },
                    { "list_age_ms", milliseconds(mListAge) },
                    { "lapsed", mWasLapsed ? "yes" : "no" },
                    { "write_ms", milliseconds(mWriteTime) },
                    { "sends", std::to_string(mSends) },
                    { "events", std::to_string(mEvents) },
                    { "first_ms", firstMs },
                    { "gap_ms", milliseconds(mLongestGap) },
                    { "ms", milliseconds(aNow - mRequest.received) } },
                  aNow);
}

} // namespace boragepitch::relay
