#include <iomanip>
#include <sstream>

#include "Commands.h"
#include "base/Json.h"

namespace boragepitch::bpctl {

namespace {

constexpr const char* kExplainPath = "/route";

base::Result<Json::Value> questionOf(const RouteOptions& aOptions)
{
  Json::Value question;
  question["host"] = aOptions.host;
  question["path"] = aOptions.path;
  question["body"] = aOptions.body;
  question["headers"] = Json::arrayValue;
  for (const std::string& line : aOptions.headers) {
    size_t colon = line.find(':');
    size_t value = colon == std::string::npos ? colon : line.find_first_not_of(' ', colon + 1);
    if (colon == 0 || value == std::string::npos) {
      // The line is not repeated: it may hold a key.
      return base::fail(
        base::ErrorKind::Invalid, "HEADER", "is no header line", "write it as \"Name: value\"");
    }
    Json::Value pair = Json::arrayValue;
    pair.append(line.substr(0, colon));
    pair.append(line.substr(value));
    question["headers"].append(pair);
  }
  return question;
}

std::string number(const Json::Value& aValue)
{
  std::ostringstream text;
  text << aValue.asDouble();
  return text.str();
}

void printRequest(const Json::Value& aAnswer, std::ostream& aOut)
{
  aOut << "entry " << base::stringOr(aAnswer, "entry") << ", configuration "
       << aAnswer["configuration"].asUInt64() << "\n";
  const Json::Value& route = aAnswer["route"];
  if (route.isNull()) {
    return;
  }
  aOut << "route " << base::stringOr(route, "name") << " (" << base::stringOr(route, "kind")
       << ", priority " << route["priority"].asInt() << ")";
  if (aAnswer.isMember("workspace")) {
    aOut << ", workspace " << base::stringOr(aAnswer, "workspace");
  }
  aOut << "\n";
  if (aAnswer.isMember("service")) {
    aOut << "service " << base::stringOr(aAnswer, "service");
    for (const Json::Value& service : route["services"]) {
      aOut << (&service == &*route["services"].begin() ? ", drawn from " : ", ")
           << base::stringOr(service, "name") << " by weight " << number(service["weight"]);
    }
    aOut << "\n";
  }
  const Json::Value& versions = aAnswer["versions"];
  if (!versions.isNull()) {
    aOut << "weights: version " << versions["required"].asUInt64() << " or newer, newest "
         << versions["newest"].asUInt64();
    if (versions.isMember("due")) {
      aOut << ", version " << versions["due"].asUInt64() << " required in "
           << versions["due_ms"].asInt64() << " ms";
    }
    aOut << "\n";
  }
  if (aAnswer.isMember("admission")) {
    const Json::Value& admission = aAnswer["admission"];
    aOut << "admission by priority: share " << number(admission["share"]);
    if (admission.isMember("limit_per_second")) {
      aOut << " of this priority, " << number(admission["limit_per_second"])
           << " requests/s in all";
    }
    aOut << "\n";
  }
}

void printEndpoints(const Json::Value& aEndpoints, std::ostream& aOut)
{
  for (const Json::Value& endpoint : aEndpoints) {
    aOut << "  " << std::left << std::setw(24) << base::stringOr(endpoint, "id") << " "
         << std::setw(12) << base::stringOr(endpoint, "zone") << " load "
         << endpoint["load"].asInt() << ", weights " << endpoint["weights"].asUInt64();
    if (endpoint.isMember("predicted_ms")) {
      aOut << ", predicted " << number(endpoint["predicted_ms"]) << " ms";
    }
    if (endpoint.isMember("cost_ms")) {
      aOut << ", cost " << number(endpoint["cost_ms"]) << " ms";
    } else {
      aOut << ", excluded: " << base::stringOr(endpoint, "exclusion");
    }
    if (endpoint.isMember("paused_ms")) {
      aOut << ", paused for " << endpoint["paused_ms"].asInt64() << " ms";
    }
    if (endpoint.isMember("limit_per_second")) {
      aOut << ", limit " << number(endpoint["limit_per_second"]) << " requests/s";
    }
    if (endpoint.isMember("cold_ms")) {
      aOut << ", cold for " << endpoint["cold_ms"].asInt64() << " ms";
    }
    aOut << "\n";
  }
}

void printOutcome(const Json::Value& aOutcome, std::ostream& aOut)
{
  if (aOutcome.isMember("endpoint")) {
    aOut << "would go to " << base::stringOr(aOutcome, "endpoint") << ", first event in "
         << number(aOutcome["predicted_ms"]) << " ms: " << base::stringOr(aOutcome, "rule") << "\n";
    return;
  }
  aOut << "would be answered " << aOutcome["status"].asInt() << ": "
       << base::stringOr(aOutcome, "reason");
  if (aOutcome.isMember("retry_after_ms")) {
    aOut << ", come back after " << aOutcome["retry_after_ms"].asInt64() << " ms";
  }
  aOut << "\n";
}

} // namespace

ExitCode showRoute(ApiClient& aClient, const RouteOptions& aOptions, Streams aStreams)
{
  auto address = net::parseAddress(aOptions.address);
  if (!address) {
    return report(address.error(), aStreams);
  }
  auto question = questionOf(aOptions);
  if (!question) {
    return report(question.error(), aStreams);
  }
  auto text = aClient.ask(*address, kExplainPath, base::writeJson(*question));
  if (!text) {
    return report(text.error(), aStreams);
  }
  if (aOptions.isJson) {
    aStreams.out << *text << "\n";
    return ExitCode::Done;
  }
  constexpr size_t kMaxAnswerBytes = 16 << 20;
  auto answer = base::parseJson(*text, { .bytes = kMaxAnswerBytes });
  if (!answer) {
    return report(answer.error(), aStreams);
  }
  printRequest(*answer, aStreams.out);
  printEndpoints((*answer)["endpoints"], aStreams.out);
  printOutcome((*answer)["outcome"], aStreams.out);
  return ExitCode::Done;
}

} // namespace boragepitch::bpctl
