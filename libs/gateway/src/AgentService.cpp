#include "AgentCore.h"

namespace boragepitch::gateway {

namespace {

using routing::Verdict;

net::ClientRequest toServiceRequest(const net::HttpRequest& aRequest)
{
  net::ClientRequest request;
  request.method = aRequest.method;
  request.target = encodeTarget(aRequest.pathParameters.at("path"), aRequest.query);
  request.body = aRequest.body;
  request.contentType = aRequest.header("Content-Type").value_or("application/json");
  for (const char* name : { kRequestId, kWorkspace, kIdempotencyKey }) {
    if (auto value = aRequest.header(name)) {
      request.headers.emplace(name, *value);
    }
  }
  return request;
}

/** Reads the whole body; Timeout after aUntil, TooLarge beyond aMaxBytes. */
base::Result<std::string> readBody(UpstreamCall& aCall, base::TimePoint aUntil, size_t aMaxBytes)
{
  std::string body;
  std::string data;
  for (;;) {
    switch (aCall.next(data, aUntil)) {
      case CallEvent::Head:
        break;
      case CallEvent::Data:
        body += data;
        if (body.size() > aMaxBytes) {
          aCall.cancel();
          return base::fail(base::ErrorKind::TooLarge, "body", "the answer is too large", "");
        }
        break;
      case CallEvent::End:
        return body;
      case CallEvent::Failed:
        return tl::make_unexpected(aCall.error());
      case CallEvent::Timeout:
        aCall.cancel();
        return base::fail(base::ErrorKind::Timeout, "service", "no answer before the deadline", "");
    }
  }
}

void keepResponse(Run& aRun, const net::HttpResponse& aResponse, size_t aMaxBytes)
{
  std::lock_guard lock(aRun.mutex);
  if (aResponse.body.size() <= aMaxBytes) {
    aRun.status = aResponse.status;
    aRun.contentType = aResponse.contentType;
    aRun.body = aResponse.body;
  }
}

net::HttpResponse callService(AgentCore& aCore,
                              const net::HttpRequest& aRequest,
                              const AttemptHeaders& aAttempt,
                              Run& aRun)
{
  aRun.state = RunState::Running;
  aCore.metrics.started.add();
  // Uses a new connection: if the service had just closed a pooled one, the failed call could not
  // be distinguished from one that ran.
  auto client = std::make_unique<net::HttpClient>(
    aCore.options.target,
    net::ClientOptions{ .connectTimeout = base::Milliseconds(500),
                        .readTimeout = base::Milliseconds(60000) });
  auto call = UpstreamCall::start(aCore.workers, std::move(client), toServiceRequest(aRequest));
  auto body = readBody(*call, aAttempt.admission.deadline, aCore.options.limits.maxResponseBytes);
  if (!body && body.error().kind == base::ErrorKind::Unavailable) {
    aRun.state = RunState::Refused;
    return aCore.refuse({ Verdict::Refused, "service is not reachable", {} });
  }
  if (!body) {
    aRun.state = RunState::Unknown;
    Refusal refusal;
    refusal.status = 504;
    refusal.ran = Ran::Unknown;
    refusal.kind = "unknownOutcome";
    refusal.message = body.error().message;
    refusal.remedy = "ask for the outcome before repeating the call";
    return toResponse(refusal);
  }
  net::HttpResponse response;
  response.status = call->head().status;
  response.contentType = call->head().header("Content-Type").value_or("application/json");
  response.body = std::move(*body);
  keepResponse(aRun, response, aCore.options.limits.maxKeptResponseBytes);
  aRun.state = RunState::Done;
  response.headers.emplace_back(kRan, "yes");
  return response;
}

} // namespace

net::HttpResponse runService(const std::shared_ptr<AgentCore>& aCore,
                             const net::HttpRequest& aRequest)
{
  auto attempt = readAttempt(*aCore, aRequest);
  if (!attempt) {
    return aCore->refuse({ Verdict::Refused, attempt.error().message, {} });
  }
  std::string closed = aCore->closedReason();
  if (!closed.empty()) {
    aCore->metrics.refused.add();
    auto response = aCore->refuse({ Verdict::Refused, closed, {} });
    response.headers.emplace_back(kClosed, "1");
    return response;
  }
  auto run = aCore->runs.add(attempt->id, attempt->fingerprint, std::chrono::steady_clock::now());
  if (!run) {
    Refusal refusal;
    refusal.status = 409;
    refusal.ran = Ran::Unknown;
    refusal.message = "request id was used or cancelled before";
    return toResponse(refusal);
  }
  net::HttpResponse response;
  auto decision = aCore->gate.enter(attempt->admission, run->cancelled);
  if (decision.verdict == Verdict::Run) {
    auto startedAt = std::chrono::steady_clock::now();
    response = callService(*aCore, aRequest, *attempt, *run);
    aCore->gate.leave(attempt->admission.id, std::chrono::steady_clock::now() - startedAt);
  } else {
    run->state = RunState::Refused;
    aCore->metrics.refused.add();
    response = aCore->refuse(decision);
  }
  aCore->runs.markEnded(run);
  response.headers.emplace_back(kRequestId, attempt->id);
  response.headers.emplace_back(kAttempt, attempt->attempt);
  if (decision.verdict == Verdict::Run) {
    aCore->addLoadHeaders(response);
  }
  return response;
}

} // namespace boragepitch::gateway
