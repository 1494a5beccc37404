#include "RequestReader.h"

#include <charconv>

#include "base/Json.h"
#include "resources/Codec.h"

namespace boragepitch::api {

namespace {

using base::Error;
using base::ErrorKind;
using resources::Change;
using resources::ChangeType;
using resources::Resource;

tl::unexpected<std::vector<Error>> singleError(const Error& aError)
{
  return tl::make_unexpected(std::vector{ aError });
}

Error invalid(std::string aField, std::string aMessage, std::string aRemedy)
{
  return base::fail(ErrorKind::Invalid, std::move(aField), std::move(aMessage), std::move(aRemedy))
    .value();
}

base::Result<Json::Value> readBody(const net::HttpRequest& aRequest, const BodyLimits& aLimits)
{
  base::JsonLimits limits;
  limits.bytes = aLimits.maxBytes;
  return base::parseJson(aRequest.body, limits);
}

/** Checks that a body names the same resource as the path. */
void checkPath(const net::HttpRequest& aRequest,
               const char* aParameter,
               const std::string& aValue,
               std::vector<Error>& aErrors)
{
  auto found = aRequest.pathParameters.find(aParameter);
  if (found != aRequest.pathParameters.end() && found->second != aValue) {
    aErrors.push_back(
      invalid(aParameter,
              "the path says \"" + found->second + "\", the body \"" + aValue + "\"",
              "make path and body name the same resource"));
  }
}

Changes readOne(const net::HttpRequest& aRequest, const BodyLimits& aLimits, ChangeType aType)
{
  auto body = readBody(aRequest, aLimits);
  if (!body) {
    return singleError(body.error());
  }
  std::vector<Error> errors = resources::findErrors(*body);
  if (!errors.empty()) {
    return tl::make_unexpected(std::move(errors));
  }
  Resource resource = resources::fromJson(*body).value();
  checkPath(aRequest, "kind", resource.kind, errors);
  checkPath(aRequest, "name", resource.name, errors);
  if (aType == ChangeType::Replace && !body->isMember("resourceVersion")) {
    errors.push_back(
      invalid("resourceVersion", "is missing", "give the version that you have read"));
  }
  if (!errors.empty()) {
    return tl::make_unexpected(std::move(errors));
  }
  return std::vector{ Change{ aType, std::move(resource) } };
}

base::Result<ChangeType> readType(const Json::Value& aElement, const std::string& aPath)
{
  auto text = base::requireString(aElement, "type", aPath);
  if (!text) {
    return tl::make_unexpected(text.error());
  }
  if (*text == "create") {
    return ChangeType::Create;
  }
  if (*text == "replace") {
    return ChangeType::Replace;
  }
  if (*text == "delete") {
    return ChangeType::Remove;
  }
  return base::fail(ErrorKind::Invalid,
                    aPath + ".type",
                    "is not a type of change",
                    "give \"create\", \"replace\" or \"delete\"");
}

base::Result<Resource> readReference(const Json::Value& aValue, const std::string& aPath)
{
  for (const std::string& key :
       aValue.isObject() ? aValue.getMemberNames() : Json::Value::Members{}) {
    if (key != "kind" && key != "name" && key != "resourceVersion") {
      return base::fail(ErrorKind::Invalid,
                        aPath + "." + key.substr(0, 64),
                        "is not a field of a deletion",
                        "give kind, name and resourceVersion only");
    }
  }
  Resource resource;
  auto kind = base::requireString(aValue, "kind", aPath);
  auto name = base::requireString(aValue, "name", aPath);
  auto version = base::requireInt(aValue, "resourceVersion", 1, INT64_MAX, aPath);
  if (!kind || !name || !version) {
    return tl::make_unexpected(!kind ? kind.error() : !name ? name.error() : version.error());
  }
  if (!resources::isKnownKind(*kind) || !resources::isValidName(*name)) {
    return base::fail(ErrorKind::Invalid,
                      aPath + (resources::isKnownKind(*kind) ? ".name" : ".kind"),
                      "is not accepted",
                      "give an existing kind and name");
  }
  resource.kind = *kind;
  resource.name = *name;
  resource.resourceVersion = static_cast<uint64_t>(*version);
  return resource;
}

void addPrefix(std::vector<Error>& aErrors, const std::string& aPath)
{
  for (Error& error : aErrors) {
    error.field = aPath + "." + error.field;
  }
}

void readChange(const Json::Value& aElement,
                const std::string& aPath,
                std::vector<Change>& aChanges,
                std::vector<Error>& aErrors)
{
  auto type = readType(aElement, aPath);
  if (!type) {
    aErrors.push_back(type.error());
    return;
  }
  for (const std::string& key : aElement.getMemberNames()) {
    if (key != "type" && key != "resource") {
      aErrors.push_back(invalid(
        aPath + "." + key.substr(0, 64), "is not a known field", "give type and resource only"));
    }
  }
  const Json::Value& body = aElement["resource"];
  std::string path = aPath + ".resource";
  if (*type == ChangeType::Remove) {
    auto reference = readReference(body, path);
    if (reference) {
      aChanges.push_back({ *type, std::move(*reference) });
    } else {
      aErrors.push_back(reference.error());
    }
    return;
  }
  std::vector<Error> errors = resources::findErrors(body);
  if (errors.empty() && *type == ChangeType::Replace && !body.isMember("resourceVersion")) {
    errors.push_back(
      invalid("resourceVersion", "is missing", "give the version that you have read"));
  }
  if (errors.empty()) {
    aChanges.push_back({ *type, resources::fromJson(body).value() });
    return;
  }
  addPrefix(errors, path);
  aErrors.insert(aErrors.end(), errors.begin(), errors.end());
}

} // namespace

Changes readCreate(const net::HttpRequest& aRequest, const BodyLimits& aLimits)
{
  return readOne(aRequest, aLimits, ChangeType::Create);
}

Changes readReplace(const net::HttpRequest& aRequest, const BodyLimits& aLimits)
{
  return readOne(aRequest, aLimits, ChangeType::Replace);
}

Changes readRemove(const net::HttpRequest& aRequest)
{
  auto version = readRevision(aRequest, "resourceVersion");
  if (!version) {
    return singleError(version.error());
  }
  Resource resource;
  resource.kind = aRequest.pathParameters.at("kind");
  resource.name = aRequest.pathParameters.at("name");
  resource.resourceVersion = *version;
  return std::vector{ Change{ ChangeType::Remove, std::move(resource) } };
}

Changes readBatch(const net::HttpRequest& aRequest, const BodyLimits& aLimits)
{
  auto body = readBody(aRequest, aLimits);
  if (!body) {
    return singleError(body.error());
  }
  if (!body->isObject() || body->size() != 1 || !(*body)["changes"].isArray() ||
      (*body)["changes"].empty()) {
    return singleError(invalid("changes",
                               "the body is not {\"changes\":[...]} with at least one change",
                               "give a list of changes as the only field"));
  }
  const Json::Value& list = (*body)["changes"];
  if (list.size() > aLimits.maxChanges) {
    return singleError(
      base::fail(ErrorKind::TooLarge,
                 "changes",
                 "a batch of " + std::to_string(list.size()) + " changes",
                 "give at most " + std::to_string(aLimits.maxChanges) + " in one batch")
        .value());
  }
  std::vector<Change> changes;
  std::vector<Error> errors;
  for (Json::ArrayIndex i = 0; i < list.size(); ++i) {
    readChange(list[i], "changes[" + std::to_string(i) + "]", changes, errors);
  }
  if (!errors.empty()) {
    return tl::make_unexpected(std::move(errors));
  }
  return changes;
}

base::Result<uint64_t> readRevision(const net::HttpRequest& aRequest, const std::string& aKey)
{
  auto found = aRequest.query.find(aKey);
  uint64_t value = 0;
  if (found != aRequest.query.end()) {
    const std::string& text = found->second;
    auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (code == std::errc() && end == text.data() + text.size()) {
      return value;
    }
  }
  return base::fail(ErrorKind::Invalid,
                    aKey,
                    "the query parameter is missing or not a number",
                    "give ?" + aKey + "=<revision>");
}

} // namespace boragepitch::api
