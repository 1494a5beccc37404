#include "Explanation.h"

#include <algorithm>
#include <cmath>

#include "Routing.h"
#include "base/Json.h"

namespace boragepitch::relay {

namespace {

/** A question fits into a request to the metrics port, which is bounded as well. */
constexpr base::JsonLimits kQuestionLimits{ .bytes = 16 << 10, .depth = 4 };
constexpr Json::ArrayIndex kMaxHeaders = 100;

struct Question
{
  std::string host;
  std::string target;
  HeaderLines headers;
  std::string body;
};

base::Result<Question> readQuestion(std::string_view aText)
{
  auto value = base::parseJson(aText, kQuestionLimits);
  if (!value) {
    return tl::make_unexpected(value.error());
  }
  if (!value->isObject()) {
    return base::fail(base::ErrorKind::Invalid, "body", "is no object", "send a JSON object");
  }
  auto host = base::requireString(*value, "host");
  auto path = base::requireString(*value, "path");
  if (!host || !path) {
    return tl::make_unexpected(!host ? host.error() : path.error());
  }
  Question question{ *host, *path, {}, base::stringOr(*value, "body") };
  const Json::Value& headers = (*value)["headers"];
  bool isValid = headers.isNull() || (headers.isArray() && headers.size() <= kMaxHeaders);
  for (Json::ArrayIndex i = 0; isValid && i < headers.size(); ++i) {
    const Json::Value& line = headers[i];
    isValid = line.isArray() && line.size() == 2 && line[0].isString() && line[1].isString();
    if (isValid) {
      question.headers.push_back({ line[0].asString(), line[1].asString() });
    }
  }
  if (!isValid) {
    return base::fail(base::ErrorKind::Invalid,
                      "headers",
                      "is no list of names and values",
                      "send at most 100 pairs of strings");
  }
  return question;
}

Json::Value inMs(base::Duration aTime)
{
  return Json::Int64(base::toMilliseconds(aTime));
}

/** Milliseconds with one decimal, as far as a prediction is worth. */
Json::Value rounded(double aMs)
{
  return std::round(aMs * 10) / 10;
}

Json::Value describe(const RoutedRequest& aRouted)
{
  Json::Value value;
  if (aRouted.route == nullptr) {
    return value;
  }
  value["name"] = aRouted.route->name;
  value["kind"] = std::string(toString(aRouted.route->kind));
  value["priority"] = aRouted.priority;
  value["max_attempts"] = aRouted.route->maxAttempts;
  for (const auto& part : aRouted.route->services) {
    Json::Value service;
    service["name"] = part.service;
    service["weight"] = part.weight;
    value["services"].append(service);
  }
  return value;
}

Json::Value describe(const serving::EndpointVerdict& aVerdict, base::TimePoint aNow)
{
  const serving::Endpoint& endpoint = *aVerdict.endpoint;
  Json::Value value;
  value["id"] = endpoint.record.id;
  value["zone"] = endpoint.record.zone;
  value["region"] = endpoint.record.region;
  value["load"] = serving::EndpointSet::load(endpoint, aNow);
  value["weights"] = Json::UInt64(endpoint.weightVersion());
  value["exclusion"] = std::string(toString(aVerdict.exclusion));
  if (aVerdict.predictedMs) {
    value["predicted_ms"] = rounded(*aVerdict.predictedMs);
  }
  if (aVerdict.exclusion == serving::Exclusion::None) {
    value["cost_ms"] = rounded(aVerdict.costMs);
  }
  if (aNow < endpoint.pausedUntil) {
    value["paused_ms"] = inMs(endpoint.pausedUntil - aNow);
  }
  if (endpoint.limit.perSecond()) {
    value["limit_per_second"] = *endpoint.limit.perSecond();
  }
  if (endpoint.isCold(aNow)) {
    value["cold_ms"] = inMs(endpoint.coldUntil - aNow);
  }
  return value;
}

Json::Value describeVersions(const serving::PlacementRequest& aRequest, base::TimePoint aNow)
{
  Json::Value value;
  value["required"] = Json::UInt64(aRequest.minWeightVersion);
  value["newest"] = Json::UInt64(aRequest.newestWeightVersion);
  if (aRequest.dueVersion) {
    value["due"] = Json::UInt64(aRequest.dueVersion->version);
    value["due_ms"] = inMs(aRequest.dueVersion->at - aNow);
  }
  return value;
}

/** The course of one explanation; writes what it finds into the answer. */
class Explanation
{
public:
  Explanation(const Core& aCore, const Question& aQuestion, base::TimePoint aNow)
    : mCore(aCore)
    , mQuestion(aQuestion)
    , mFacts(aCore.headerCodec.readRequest(aQuestion.headers))
    , mNow(aNow)
    , mRng(aCore.rng)
  {
  }

  Json::Value run()
  {
    const auto& deployment = mCore.deployment;
    mAnswer["entry"] = mCore.options.node;
    mAnswer["configuration"] = Json::UInt64(deployment ? deployment->version() : 0);
    RequestTarget target{ mQuestion.host, mQuestion.target, mFacts, mNow };
    mRouted = routeRequest(mCore, deployment.get(), target, mNow, mRng);
    mAnswer["route"] = describe(mRouted);
    if (mRouted.workspace != nullptr) {
      mAnswer["workspace"] = mRouted.workspace->name;
    }
    if (!mRouted.obstacle.empty()) {
      finish(mRouted.status, mRouted.obstacle);
      return mAnswer;
    }
    mAnswer["service"] = mRouted.service->name;
    mAnswer["time_ms"] = inMs(mRouted.deadline - mNow);
    auto fingerprint = serving::requestFingerprint(mQuestion.target, mFacts.key, mQuestion.body);
    if (mCore.suspects.isQuarantined(fingerprint, mNow) ||
        !mCore.quarantine.mayAdmit(mFacts.sharedParts, mNow)) {
      finish(500, kQuarantined);
    } else if (explainAdmission()) {
      explainPlacement(placementRequest(mCore, mRouted, target, mNow));
    }
    return mAnswer;
  }

private:
  /** Returns false if the request would be refused for more urgent ones. */
  bool explainAdmission()
  {
    if (!isPrioritized(mCore, *mCore.deployment, mRouted, mFacts)) {
      return true;
    }
    auto admission = mCore.admission;
    std::string_view workspace =
      mRouted.workspace != nullptr ? mRouted.workspace->name : std::string_view();
    mAdmission = admission.admit(mRouted.service->name, mRouted.priority, workspace, mNow, mRng);
    Json::Value& value = mAnswer["admission"];
    value["share"] = mAdmission.share;
    if (auto limit = admission.limit(mRouted.service->name)) {
      value["limit_per_second"] = rounded(*limit);
    }
    if (!mAdmission.isAdmitted) {
      value["refused_for_priority"] = mAdmission.refusedFor;
      finish(503, kLessUrgent);
    }
    return mAdmission.isAdmitted;
  }

  void explainPlacement(const serving::PlacementRequest& aRequest)
  {
    if (aRequest.service->engine) {
      mAnswer["versions"] = describeVersions(aRequest, mNow);
    }
    mAnswer["endpoints"] = Json::arrayValue;
    for (const auto& verdict : mCore.endpoints.explain(aRequest, mNow)) {
      mAnswer["endpoints"].append(describe(verdict, mNow));
    }
    auto placement = mCore.endpoints.choose(aRequest, mNow, mRng);
    if (!placement.endpoint) {
      mUnavailableFor = placement.unavailableFor;
      finish(503, toString(placement.refusal));
      return;
    }
    mAnswer["outcome"]["endpoint"] = placement.endpoint->record.id;
    mAnswer["outcome"]["predicted_ms"] = rounded(placement.predictedMs);
    mAnswer["outcome"]["rule"] = "lowest cost, with up to " +
                                 std::to_string(std::lround(serving::EndpointSet::costJitterMs())) +
                                 " ms added at random";
  }

  void finish(int aStatus, std::string_view aReason)
  {
    mAnswer["outcome"]["status"] = aStatus;
    mAnswer["outcome"]["reason"] = std::string(aReason);
    if (aStatus == 503) {
      mAnswer["outcome"]["retry_after_ms"] =
        inMs(retryAfter(aReason, mRouted, mAdmission, mUnavailableFor, mRng));
    }
  }

  const Core& mCore;
  const Question& mQuestion;
  const RequestFacts mFacts;
  const base::TimePoint mNow;
  base::Rng mRng; ///< Draws what the next request would draw.
  RoutedRequest mRouted;
  serving::AdmissionDecision mAdmission;
  base::Duration mUnavailableFor{ 0 };
  Json::Value mAnswer;
};

} // namespace

std::pair<int, std::string> explainRoute(const Core& aCore,
                                         std::string_view aQuestion,
                                         base::TimePoint aNow)
{
  auto question = readQuestion(aQuestion);
  if (!question) {
    Json::Value answer;
    answer["error"]["field"] = question.error().field;
    answer["error"]["message"] = question.error().message;
    answer["error"]["remedy"] = question.error().remedy;
    return { 400, base::writeJson(answer) };
  }
  return { 200, base::writeJson(Explanation(aCore, *question, aNow).run()) };
}

} // namespace boragepitch::relay
