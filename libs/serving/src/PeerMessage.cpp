#include "serving/PeerMessage.h"

#include <limits>

#include "base/Json.h"
#include "serving/Fragments.h"

namespace boragepitch::serving {

namespace {

constexpr int64_t kMaxCount = 1'000'000;
/** Quarantines of a notice; one takes up to 50 bytes beside its parts. */
constexpr size_t kMaxQuarantines = kMaxQuarantinedPartsOfNotice;
constexpr int64_t kMaxAgeMs = 86'400'000;

Json::Value toJson(const std::vector<PromptPart>& aParts)
{
  Json::Value list(Json::arrayValue);
  for (PromptPart part : aParts) {
    // As text, since readers of JSON may hold numbers with less than 64 bits.
    list.append(std::to_string(part));
  }
  return list;
}

Json::Value toJson(const LoadReport& aReport)
{
  Json::Value json;
  json["kind"] = "load";
  json["address"] = aReport.address;
  json["born"] = Json::UInt64{ aReport.startTimeMs };
  json["running"] = aReport.running;
  json["queued"] = aReport.queued;
  json["pace"] = aReport.pace;
  json["memory"] = aReport.memoryUsed;
  json["weights"] = Json::UInt64{ aReport.weightVersion };
  json["switching"] = aReport.isSwitching;
  json["soon"] = aReport.switchesSoon;
  return json;
}

Json::Value toJson(const CrashEvidence& aEvidence)
{
  Json::Value json;
  json["kind"] = "crash";
  json["fingerprint"] = std::to_string(aEvidence.fingerprint);
  json["endpoint"] = aEvidence.endpoint;
  json["parts"] = toJson(aEvidence.parts);
  if (aEvidence.isIsolated) {
    json["isolated"] = true;
  }
  return json;
}

Json::Value toJson(const CrashRefutation& aRefutation)
{
  Json::Value json = toJson(aRefutation.evidence);
  json["kind"] = "refutation";
  json.removeMember("parts");
  return json;
}

Json::Value toJson(const PartNotice& aNotice)
{
  Json::Value json;
  json["kind"] = "parts";
  json["quarantined"] = Json::Value(Json::arrayValue);
  for (const QuarantinedParts& quarantine : aNotice.quarantined) {
    Json::Value row;
    row["parts"] = toJson(quarantine.parts);
    row["age"] = Json::Int64{ quarantine.evidenceAge.count() };
    row["left"] = Json::Int64{ quarantine.left.count() };
    json["quarantined"].append(std::move(row));
  }
  json["proved"] = toJson(aNotice.proved);
  return json;
}

Json::Value toJson(const RequestNotice& aNotice)
{
  Json::Value json;
  json["kind"] = "requests";
  json["quarantined"] = Json::Value(Json::arrayValue);
  for (const QuarantinedRequest& request : aNotice.quarantined) {
    if (json["quarantined"].size() >= kMaxQuarantinedRequestsOfNotice) {
      break; // The others are told in later rounds.
    }
    Json::Value row;
    row["fingerprint"] = std::to_string(request.fingerprint);
    row["age"] = Json::Int64{ request.evidenceAge.count() };
    json["quarantined"].append(std::move(row));
  }
  for (uint64_t fingerprint : aNotice.completed) {
    if (json["completed"].size() >= kMaxQuarantinedRequestsOfNotice) {
      break; // Their quarantines end at the next completion.
    }
    json["completed"].append(std::to_string(fingerprint));
  }
  return json;
}

Json::Value toJson(const EntryNotice& aNotice)
{
  Json::Value json;
  json["kind"] = "entry";
  json["name"] = aNotice.entry.name;
  json["region"] = aNotice.entry.region;
  json["address"] = aNotice.address.toString();
  json["weights"] = Json::Value(Json::objectValue);
  for (const auto& [model, version] : aNotice.weightVersions) {
    json["weights"][model] = Json::UInt64{ version };
  }
  return json;
}

double numberOr(const Json::Value& aJson, const char* aKey, double aDefault)
{
  const Json::Value& value = aJson[aKey];
  return value.isNumeric() ? value.asDouble() : aDefault;
}

base::Result<PeerMessage> loadFrom(const Json::Value& aJson)
{
  auto address = base::requireString(aJson, "address");
  auto startTimeMs = base::requireInt(aJson, "born", 0, std::numeric_limits<int64_t>::max());
  auto running = base::requireInt(aJson, "running", 0, kMaxCount);
  auto queued = base::requireInt(aJson, "queued", 0, kMaxCount);
  auto weights = base::requireInt(aJson, "weights", 0, std::numeric_limits<int64_t>::max());
  for (const base::Error* error : { address ? nullptr : &address.error(),
                                    startTimeMs ? nullptr : &startTimeMs.error(),
                                    running ? nullptr : &running.error(),
                                    queued ? nullptr : &queued.error(),
                                    weights ? nullptr : &weights.error() }) {
    if (error != nullptr) {
      return tl::make_unexpected(*error);
    }
  }
  LoadReport report;
  report.address = *address;
  report.startTimeMs = static_cast<uint64_t>(*startTimeMs);
  report.running = static_cast<int>(*running);
  report.queued = static_cast<int>(*queued);
  report.pace = numberOr(aJson, "pace", 1);
  report.memoryUsed = numberOr(aJson, "memory", 0);
  report.weightVersion = static_cast<uint64_t>(*weights);
  report.isSwitching = base::boolOr(aJson, "switching", false);
  report.switchesSoon = base::boolOr(aJson, "soon", false);
  return PeerMessage(report);
}

/** Invalid members are left out: a part that is missing is reported again with the next crash. */
std::vector<PromptPart> partsFrom(const Json::Value& aList)
{
  std::vector<PromptPart> parts;
  for (const Json::Value& part : aList.isArray() ? aList : Json::Value(Json::arrayValue)) {
    if (part.isString()) {
      parts.push_back(std::strtoull(part.asCString(), nullptr, 10));
    }
  }
  return parts;
}

base::Result<PeerMessage> partNoticeFrom(const Json::Value& aJson)
{
  PartNotice notice;
  notice.proved = partsFrom(aJson["proved"]);
  const Json::Value& rows = aJson["quarantined"];
  for (const Json::Value& row : rows.isArray() ? rows : Json::Value(Json::arrayValue)) {
    if (!row.isObject()) {
      return base::fail(base::ErrorKind::Invalid, "quarantined", "not a list of objects", "");
    }
    auto parts = partsFrom(row["parts"]);
    auto age = base::requireInt(row, "age", 0, kMaxAgeMs);
    auto left = base::requireInt(row, "left", 0, kMaxAgeMs);
    if (!age || !left) {
      return tl::make_unexpected(!age ? age.error() : left.error());
    }
    // A truncated quarantine would match more requests.
    bool isWhole = !parts.empty() && parts.size() == row["parts"].size();
    if (isWhole && notice.quarantined.size() < kMaxQuarantines) {
      notice.quarantined.push_back(
        { std::move(parts), base::Milliseconds(*age), base::Milliseconds(*left) });
    }
  }
  return PeerMessage(notice);
}

base::Result<PeerMessage> requestNoticeFrom(const Json::Value& aJson)
{
  RequestNotice notice;
  const Json::Value& rows = aJson["quarantined"];
  for (const Json::Value& row : rows.isArray() ? rows : Json::Value(Json::arrayValue)) {
    if (!row.isObject()) {
      return base::fail(base::ErrorKind::Invalid, "quarantined", "not a list of objects", "");
    }
    auto fingerprint = base::requireString(row, "fingerprint");
    auto age = base::requireInt(row, "age", 0, kMaxAgeMs);
    if (!fingerprint || !age) {
      return tl::make_unexpected(!fingerprint ? fingerprint.error() : age.error());
    }
    if (notice.quarantined.size() < kMaxQuarantinedRequestsOfNotice) {
      notice.quarantined.push_back(
        { std::strtoull(fingerprint->c_str(), nullptr, 10), base::Milliseconds(*age) });
    }
  }
  const Json::Value& completed = aJson["completed"];
  for (const Json::Value& row : completed.isArray() ? completed : Json::Value(Json::arrayValue)) {
    if (row.isString() && notice.completed.size() < kMaxQuarantinedRequestsOfNotice) {
      notice.completed.push_back(std::strtoull(row.asCString(), nullptr, 10));
    }
  }
  return PeerMessage(notice);
}

base::Result<CrashEvidence> crashFrom(const Json::Value& aJson)
{
  auto fingerprint = base::requireString(aJson, "fingerprint");
  auto endpoint = base::requireString(aJson, "endpoint");
  if (!fingerprint || !endpoint) {
    return tl::make_unexpected(fingerprint ? endpoint.error() : fingerprint.error());
  }
  CrashEvidence evidence;
  evidence.fingerprint = std::strtoull(fingerprint->c_str(), nullptr, 10);
  evidence.endpoint = *endpoint;
  evidence.parts = partsFrom(aJson["parts"]);
  evidence.isIsolated = base::boolOr(aJson, "isolated", false);
  return evidence;
}

base::Result<PeerMessage> noticeFrom(const Json::Value& aJson)
{
  auto name = base::requireString(aJson, "name");
  auto region = base::requireString(aJson, "region");
  auto address = net::parseAddress(base::stringOr(aJson, "address"));
  if (!name || !region) {
    return tl::make_unexpected(name ? region.error() : name.error());
  }
  if (!address) {
    return tl::make_unexpected(address.error());
  }
  EntryNotice notice{ { *name, *region }, *address, {} };
  const Json::Value& weights = aJson["weights"];
  for (const std::string& model :
       weights.isObject() ? weights.getMemberNames() : Json::Value::Members()) {
    auto version = base::requireInt(weights, model.c_str(), 1, std::numeric_limits<int64_t>::max());
    if (!version) {
      return tl::make_unexpected(version.error());
    }
    notice.weightVersions[model] = static_cast<uint64_t>(*version);
  }
  return PeerMessage(notice);
}

} // namespace

std::string encode(const PeerMessage& aMessage)
{
  return base::writeJson(std::visit([](const auto& aBody) { return toJson(aBody); }, aMessage));
}

base::Result<PeerMessage> decode(std::string_view aText)
{
  auto json = base::parseJson(aText, { .bytes = kMaxMessageBytes, .depth = 4 });
  if (!json) {
    return tl::make_unexpected(json.error());
  }
  std::string kind = base::stringOr(*json, "kind");
  if (kind == "load") {
    return loadFrom(*json);
  }
  if (kind == "crash" || kind == "refutation") {
    auto evidence = crashFrom(*json);
    if (!evidence) {
      return tl::make_unexpected(evidence.error());
    }
    return kind == "crash" ? PeerMessage(std::move(*evidence))
                           : PeerMessage(CrashRefutation{ std::move(*evidence) });
  }
  if (kind == "parts") {
    return partNoticeFrom(*json);
  }
  if (kind == "requests") {
    return requestNoticeFrom(*json);
  }
  if (kind == "entry") {
    return noticeFrom(*json);
  }
  return base::fail(base::ErrorKind::Invalid,
                    "kind",
                    "unknown message kind",
                    "run the same software version on all nodes");
}

} // namespace boragepitch::serving
