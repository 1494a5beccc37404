#include "base/Json.h"

#include <memory>

#include <json/reader.h>
#include <json/writer.h>

namespace boragepitch::base {

namespace {

std::string joinPath(const std::string& aPath, const std::string& aKey)
{
  return aPath.empty() ? aKey : aPath + "." + aKey;
}

// jsoncpp reports excessive depth only by an exception, so the depth is checked before parsing. NUL
// bytes inside strings are allowed, as in jsoncpp.
bool exceedsDepth(std::string_view aText, int aMaxDepth)
{
  int depth = 0;
  bool inString = false;
  for (size_t i = 0; i < aText.size(); ++i) {
    char c = aText[i];
    if (inString) {
      if (c == '\\') {
        ++i;
      } else if (c == '"') {
        inString = false;
      }
    } else if (c == '"') {
      inString = true;
    } else if (c == '{' || c == '[') {
      if (++depth > aMaxDepth) {
        return true;
      }
    } else if (c == '}' || c == ']') {
      --depth;
    }
  }
  return false;
}

} // namespace

Result<Json::Value> parseJson(std::string_view aText, JsonLimits aLimits)
{
  if (aText.size() > aLimits.bytes) {
    return fail(ErrorKind::TooLarge,
                "body",
                "JSON text of " + std::to_string(aText.size()) + " bytes",
                "send at most " + std::to_string(aLimits.bytes) + " bytes");
  }
  if (exceedsDepth(aText, aLimits.depth)) {
    return fail(ErrorKind::Invalid,
                "body",
                "JSON is nested too deeply",
                "nest at most " + std::to_string(aLimits.depth) + " levels");
  }
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  // Strict mode would reject scalars at the root, which are valid JSON.
  builder.settings_["strictRoot"] = false;
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string errors;
  bool parsed = false;
  try {
    parsed = reader->parse(aText.data(), aText.data() + aText.size(), &value, &errors);
  } catch (const Json::Exception& exception) {
    errors = exception.what();
  }
  if (!parsed) {
    for (char& c : errors) {
      if (c == '\n') {
        c = ' ';
      }
    }
    return fail(ErrorKind::Invalid, "body", "malformed JSON: " + errors, "send valid JSON");
  }
  return value;
}

std::string writeJson(const Json::Value& aValue)
{
  static const Json::StreamWriterBuilder kBuilder = [] {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return builder;
  }();
  return Json::writeString(kBuilder, aValue);
}

Result<std::string> requireString(const Json::Value& aObject,
                                  const std::string& aKey,
                                  const std::string& aPath)
{
  if (!aObject.isObject() || !aObject.isMember(aKey) || !aObject[aKey].isString()) {
    return fail(
      ErrorKind::Invalid, joinPath(aPath, aKey), "missing or not a string", "give a string");
  }
  return aObject[aKey].asString();
}

Result<int64_t> requireInt(const Json::Value& aObject,
                           const std::string& aKey,
                           int64_t aMin,
                           int64_t aMax,
                           const std::string& aPath)
{
  if (!aObject.isObject() || !aObject.isMember(aKey) || !aObject[aKey].isInt64() ||
      aObject[aKey].asInt64() < aMin || aObject[aKey].asInt64() > aMax) {
    return fail(ErrorKind::Invalid,
                joinPath(aPath, aKey),
                "missing, not an integer or out of range",
                "give an integer from " + std::to_string(aMin) + " to " + std::to_string(aMax));
  }
  return aObject[aKey].asInt64();
}

Result<bool> requireBool(const Json::Value& aObject,
                         const std::string& aKey,
                         const std::string& aPath)
{
  if (!aObject.isObject() || !aObject.isMember(aKey) || !aObject[aKey].isBool()) {
    return fail(
      ErrorKind::Invalid, joinPath(aPath, aKey), "missing or not a boolean", "give true or false");
  }
  return aObject[aKey].asBool();
}

std::string stringOr(const Json::Value& aObject, const char* aKey, std::string aDefault)
{
  if (!aObject.isObject() || !aObject[aKey].isString()) {
    return aDefault;
  }
  return aObject[aKey].asString();
}

int64_t intOr(const Json::Value& aObject, const char* aKey, int64_t aDefault)
{
  if (!aObject.isObject() || !aObject[aKey].isInt64()) {
    return aDefault;
  }
  return aObject[aKey].asInt64();
}

bool boolOr(const Json::Value& aObject, const char* aKey, bool aDefault)
{
  if (!aObject.isObject() || !aObject[aKey].isBool()) {
    return aDefault;
  }
  return aObject[aKey].asBool();
}

} // namespace boragepitch::base
