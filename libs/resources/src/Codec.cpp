#include "resources/Codec.h"

#include <algorithm>
#include <array>
#include <cctype>

#include "FieldReader.h"
#include "base/Digest.h"

namespace boragepitch::resources {

namespace {

using Need = FieldReader::Need;

constexpr size_t kMaxNameLength = 63;
constexpr size_t kMaxTextLength = 256;
// A Serving or Rollout may name every endpoint of the largest fleet (docs/design.md, section 1.6).
constexpr size_t kMaxListLength = 2000;
constexpr size_t kMaxCalls = 256;
constexpr const char* kNameRemedy =
  "use 1 to 63 of a-z, 0-9 and '-', with a letter or digit at both ends";
constexpr const char* kVersionRemedy =
  "use 1 to 63 of letters, digits, '.', '_' and '-', with a letter or digit first";

bool isAlnum(char aChar)
{
  return std::isalnum(static_cast<unsigned char>(aChar)) != 0;
}

bool isVersion(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxNameLength && isAlnum(aText.front()) &&
         std::all_of(aText.begin(), aText.end(), [](char aChar) {
           return isAlnum(aChar) || aChar == '.' || aChar == '_' || aChar == '-';
         });
}

bool isNamePrefix(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         std::all_of(aText.begin(), aText.end(), [](char aChar) {
           return (aChar >= 'a' && aChar <= 'z') || (aChar >= '0' && aChar <= '9') || aChar == '-';
         });
}

bool isOrigin(std::string_view aText)
{
  size_t slash = aText.find('/');
  return slash != std::string_view::npos && isVersion(aText.substr(0, slash)) &&
         isVersion(aText.substr(slash + 1));
}

bool isManifestId(std::string_view aText)
{
  return base::digestFromHex(aText).has_value();
}

bool isMethod(std::string_view aText)
{
  static constexpr std::array<std::string_view, 8> kMethods{ "*",   "GET",   "HEAD",   "POST",
                                                             "PUT", "PATCH", "DELETE", "OPTIONS" };
  return std::find(kMethods.begin(), kMethods.end(), aText) != kMethods.end();
}

bool isPath(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxTextLength && aText.front() == '/' &&
         std::all_of(
           aText.begin(), aText.end(), [](char aChar) { return aChar > ' ' && aChar < 0x7f; });
}

void read(FieldReader& aReader, ModelVersion& aSpec)
{
  aReader.text("model", aSpec.model, Need::Required, isValidName, kNameRemedy);
  aReader.text("version", aSpec.version, Need::Required, isVersion, kVersionRemedy);
  aReader.text(
    "manifest",
    aSpec.manifest,
    Need::Required,
    isManifestId,
    "give the manifest id, 64 lower-case hexadecimal digits, as bpctl manifest prints it");
  aReader.count("size", aSpec.size, Need::Required, 1);
  aReader.text(
    "origin", aSpec.origin, Need::Required, isOrigin, "give \"name/version\" at the weight store");
  aReader.text(
    "adapterOf",
    aSpec.adapterOf,
    Need::Optional,
    [](std::string_view aText) { return aText.empty() || isValidName(aText); },
    "give the base model's name, or leave the field out");
}

void read(FieldReader& aReader, Serving& aSpec)
{
  aReader.text("model", aSpec.model, Need::Required, isValidName, kNameRemedy);
  aReader.text("version", aSpec.version, Need::Required, isVersion, kVersionRemedy);
  aReader.texts("zones", aSpec.zones, kMaxListLength, isValidName, kNameRemedy);
  aReader.texts("endpoints",
                aSpec.endpoints,
                kMaxListLength,
                isNamePrefix,
                "give a prefix of endpoint names: 1 to 63 of a-z, 0-9 and '-'");
  aReader.integer("minAvailable", aSpec.minAvailable, Need::Optional, 0, 100);
  aReader.integer("urgency", aSpec.urgency, Need::Optional, 0, 9);
  aReader.texts("adapters", aSpec.adapters, kMaxListLength, isValidName, kNameRemedy);
}

void read(FieldReader& aReader, Zone& aSpec)
{
  aReader.text("region", aSpec.region, Need::Required, isValidName, kNameRemedy);
  aReader.flag("inService", aSpec.inService, Need::Optional);
}

void read(FieldReader& aReader, Vm& aSpec)
{
  aReader.text("zone", aSpec.zone, Need::Required, isValidName, kNameRemedy);
  aReader.flag("inService", aSpec.inService, Need::Optional);
}

constexpr std::array<std::pair<std::string_view, Role>, 4> kRoles{ { { "general", Role::General },
                                                                     { "prefill", Role::Prefill },
                                                                     { "decode", Role::Decode },
                                                                     { "drafter",
                                                                       Role::Drafter } } };

std::string_view roleName(Role aRole)
{
  for (const auto& [name, role] : kRoles) {
    if (role == aRole) {
      return name;
    }
  }
  return "general";
}

bool isRole(std::string_view aText)
{
  return std::any_of(
    kRoles.begin(), kRoles.end(), [&](const auto& aRole) { return aRole.first == aText; });
}

void readRole(FieldReader& aReader, Role& aRole)
{
  std::string text{ roleName(aRole) };
  aReader.text("role",
               text,
               Need::Optional,
               isRole,
               "give \"general\", \"prefill\", \"decode\" or \"drafter\"");
  for (const auto& [name, role] : kRoles) {
    if (name == text) {
      aRole = role;
    }
  }
}

void readType(FieldReader& aReader, Endpoint& aSpec)
{
  std::string type = "model";
  aReader.text(
    "type",
    type,
    Need::Optional,
    [](std::string_view aText) { return aText == "model" || aText == "service"; },
    "give \"model\" or \"service\"");
  aSpec.type = type == "service" ? EndpointType::Service : EndpointType::Model;
  aReader.text(
    "service",
    aSpec.service,
    Need::Optional,
    [](std::string_view aText) { return aText.empty() || isValidName(aText); },
    kNameRemedy);
  if (aSpec.type == EndpointType::Service && aSpec.service.empty()) {
    aReader.report(aReader.pathOf("service"),
                   "an endpoint of type service names no Service",
                   "give the name of a Service resource");
  }
  if (aSpec.type == EndpointType::Model && !aSpec.service.empty()) {
    aReader.report(aReader.pathOf("service"),
                   "an endpoint of type model names a Service",
                   "remove the field or give \"type\": \"service\"");
  }
}

void read(FieldReader& aReader, Endpoint& aSpec)
{
  constexpr int kMaxLimit = 1024;
  aReader.text("vm", aSpec.vm, Need::Required, isValidName, kNameRemedy);
  readType(aReader, aSpec);
  readRole(aReader, aSpec.role);
  aReader.flag("honoursFencing", aSpec.honoursFencing, Need::Optional);
  aReader.integer("coldLimit", aSpec.coldLimit, Need::Optional, 1, kMaxLimit);
  aReader.integer("warmLimit", aSpec.warmLimit, Need::Optional, 1, kMaxLimit);
}

void read(FieldReader& aReader, Service& aSpec)
{
  aReader.list(
    "calls", Need::Optional, kMaxCalls, [&](const Json::Value& aValue, const std::string& aPath) {
      ServiceCall call;
      FieldReader element = aReader.nested(aValue, aPath);
      element.text("method",
                   call.method,
                   Need::Required,
                   isMethod,
                   "give an HTTP method in capitals, or \"*\"");
      element.text("path",
                   call.path,
                   Need::Required,
                   isPath,
                   "give a path of at most 256 characters that starts with '/'");
      element.flag("repeatable", call.repeatable, Need::Required);
      element.finish();
      aSpec.calls.push_back(std::move(call));
    });
}

void read(FieldReader& aReader, Workspace& aSpec)
{
  aReader.integer("worth", aSpec.worth, Need::Optional, 1, 1000);
  aReader.integer("share", aSpec.share, Need::Optional, 1, 1000);
}

void read(FieldReader& aReader, Rollout& aSpec)
{
  aReader.text("model", aSpec.model, Need::Required, isValidName, kNameRemedy);
  aReader.text("version", aSpec.version, Need::Required, isVersion, kVersionRemedy);
  aReader.count("fencing", aSpec.fencing, Need::Required, 0);
  aReader.texts("allowed", aSpec.allowed, kMaxListLength, isValidName, kNameRemedy);
}

Json::Value textList(const std::vector<std::string>& aTexts)
{
  Json::Value list(Json::arrayValue);
  for (const std::string& text : aTexts) {
    list.append(text);
  }
  return list;
}

Json::Value write(const ModelVersion& aSpec)
{
  Json::Value json(Json::objectValue);
  json["model"] = aSpec.model;
  json["version"] = aSpec.version;
  json["manifest"] = aSpec.manifest;
  json["size"] = Json::UInt64(aSpec.size);
  json["origin"] = aSpec.origin;
  json["adapterOf"] = aSpec.adapterOf;
  return json;
}

Json::Value write(const Serving& aSpec)
{
  Json::Value json(Json::objectValue);
  json["model"] = aSpec.model;
  json["version"] = aSpec.version;
  json["zones"] = textList(aSpec.zones);
  json["endpoints"] = textList(aSpec.endpoints);
  json["minAvailable"] = aSpec.minAvailable;
  json["urgency"] = aSpec.urgency;
  json["adapters"] = textList(aSpec.adapters);
  return json;
}

Json::Value write(const Zone& aSpec)
{
  Json::Value json(Json::objectValue);
  json["region"] = aSpec.region;
  json["inService"] = aSpec.inService;
  return json;
}

Json::Value write(const Vm& aSpec)
{
  Json::Value json(Json::objectValue);
  json["zone"] = aSpec.zone;
  json["inService"] = aSpec.inService;
  return json;
}

Json::Value write(const Endpoint& aSpec)
{
  Json::Value json(Json::objectValue);
  json["vm"] = aSpec.vm;
  json["type"] = aSpec.type == EndpointType::Service ? "service" : "model";
  json["service"] = aSpec.service;
  json["role"] = std::string(roleName(aSpec.role));
  json["honoursFencing"] = aSpec.honoursFencing;
  json["coldLimit"] = aSpec.coldLimit;
  json["warmLimit"] = aSpec.warmLimit;
  return json;
}

Json::Value write(const Service& aSpec)
{
  Json::Value json(Json::objectValue);
  json["calls"] = Json::Value(Json::arrayValue);
  for (const ServiceCall& call : aSpec.calls) {
    Json::Value& element = json["calls"].append(Json::Value(Json::objectValue));
    element["method"] = call.method;
    element["path"] = call.path;
    element["repeatable"] = call.repeatable;
  }
  return json;
}

Json::Value write(const Workspace& aSpec)
{
  Json::Value json(Json::objectValue);
  json["worth"] = aSpec.worth;
  json["share"] = aSpec.share;
  return json;
}

Json::Value write(const Rollout& aSpec)
{
  Json::Value json(Json::objectValue);
  json["model"] = aSpec.model;
  json["version"] = aSpec.version;
  json["fencing"] = Json::UInt64(aSpec.fencing);
  json["allowed"] = textList(aSpec.allowed);
  return json;
}

template<size_t I = 0>
bool setDefaultSpec(std::string_view aKind, Spec& aSpec)
{
  if constexpr (I < std::variant_size_v<Spec>) {
    Spec candidate(std::in_place_index<I>);
    if (kindOf(candidate) == aKind) {
      aSpec = std::move(candidate);
      return true;
    }
    return setDefaultSpec<I + 1>(aKind, aSpec);
  } else {
    return false;
  }
}

Resource readResource(const Json::Value& aValue, std::vector<base::Error>& aErrors)
{
  Resource resource;
  FieldReader reader(aValue, "", aErrors);
  reader.text("kind",
              resource.kind,
              Need::Required,
              isKnownKind,
              "give ModelVersion, Serving, Zone, Vm, Endpoint, Service or Workspace");
  reader.text("name", resource.name, Need::Required, isValidName, kNameRemedy);
  reader.count("resourceVersion", resource.resourceVersion, Need::Optional, 0);
  reader.member("status", Need::Optional);
  const Json::Value* spec = reader.member("spec", Need::Required);
  if (spec != nullptr && setDefaultSpec(resource.kind, resource.spec)) {
    FieldReader fields(*spec, "spec", aErrors);
    if (spec->isObject()) {
      std::visit([&](auto& aSpec) { read(fields, aSpec); }, resource.spec);
    }
    fields.finish();
  }
  reader.finish();
  return resource;
}

struct KindName
{
  std::string_view operator()(const ModelVersion&) const { return "ModelVersion"; }
  std::string_view operator()(const Serving&) const { return "Serving"; }
  std::string_view operator()(const Zone&) const { return "Zone"; }
  std::string_view operator()(const Vm&) const { return "Vm"; }
  std::string_view operator()(const Endpoint&) const { return "Endpoint"; }
  std::string_view operator()(const Service&) const { return "Service"; }
  std::string_view operator()(const Workspace&) const { return "Workspace"; }
  std::string_view operator()(const Rollout&) const { return "Rollout"; }
};

} // namespace

bool isValidName(std::string_view aName)
{
  return isNamePrefix(aName) && aName.front() != '-' && aName.back() != '-';
}

const std::vector<std::string_view>& allKinds()
{
  static const std::vector<std::string_view> kKinds{ "Endpoint",  "ModelVersion", "Rollout",
                                                     "Service",   "Serving",      "Vm",
                                                     "Workspace", "Zone" };
  return kKinds;
}

bool isKnownKind(std::string_view aKind)
{
  return std::find(allKinds().begin(), allKinds().end(), aKind) != allKinds().end();
}

std::string_view kindOf(const Spec& aSpec)
{
  return std::visit(KindName{}, aSpec);
}

Json::Value specToJson(const Spec& aSpec)
{
  return std::visit([](const auto& aAlternative) { return write(aAlternative); }, aSpec);
}

Json::Value toJson(const Resource& aResource)
{
  Json::Value json(Json::objectValue);
  json["kind"] = aResource.kind;
  json["name"] = aResource.name;
  json["resourceVersion"] = Json::UInt64(aResource.resourceVersion);
  json["spec"] = specToJson(aResource.spec);
  return json;
}

base::Result<Resource> fromJson(const Json::Value& aValue)
{
  std::vector<base::Error> errors;
  Resource resource = readResource(aValue, errors);
  if (!errors.empty()) {
    return tl::make_unexpected(errors.front());
  }
  return resource;
}

std::vector<base::Error> findErrors(const Json::Value& aValue)
{
  std::vector<base::Error> errors;
  readResource(aValue, errors);
  return errors;
}

} // namespace boragepitch::resources
