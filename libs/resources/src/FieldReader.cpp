#include "FieldReader.h"

#include <algorithm>
#include <utility>

namespace boragepitch::resources {

namespace {

// Characters of the input that an error message quotes.
constexpr size_t kMaxQuotedLength = 64;

std::string typeName(const Json::Value& aValue)
{
  switch (aValue.type()) {
    case Json::nullValue:
      return "null";
    case Json::booleanValue:
      return "a boolean";
    case Json::stringValue:
      return "a string";
    case Json::arrayValue:
      return "a list";
    case Json::objectValue:
      return "an object";
    default:
      return "a number";
  }
}

} // namespace

FieldReader::FieldReader(const Json::Value& aValue,
                         std::string aPath,
                         std::vector<base::Error>& aErrors)
  : mValue(aValue)
  , mPath(std::move(aPath))
  , mErrors(aErrors)
  , mIsObject(aValue.isObject())
{
  if (!mIsObject) {
    report(mPath.empty() ? "body" : mPath, typeName(aValue) + " is not an object", "give {...}");
  }
}

std::string FieldReader::pathOf(const std::string& aKey) const
{
  return mPath.empty() ? aKey : mPath + "." + aKey;
}

void FieldReader::report(std::string aField, std::string aMessage, std::string aRemedy)
{
  mErrors.push_back(
    base::fail(base::ErrorKind::Invalid, std::move(aField), std::move(aMessage), std::move(aRemedy))
      .value());
}

FieldReader FieldReader::nested(const Json::Value& aValue, std::string aPath)
{
  return { aValue, std::move(aPath), mErrors };
}

const Json::Value* FieldReader::member(const char* aKey, Need aNeed)
{
  mKnown.insert(aKey);
  if (!mIsObject) {
    return nullptr;
  }
  const Json::Value* found = mValue.find(aKey, aKey + std::char_traits<char>::length(aKey));
  if (found == nullptr && aNeed == Need::Required) {
    report(pathOf(aKey), "is missing", "add this field");
  }
  return found;
}

void FieldReader::text(const char* aKey,
                       std::string& aTarget,
                       Need aNeed,
                       const Check& aCheck,
                       const char* aRemedy)
{
  const Json::Value* found = member(aKey, aNeed);
  if (found == nullptr) {
    return;
  }
  if (!found->isString()) {
    report(pathOf(aKey), typeName(*found) + " is not a string", aRemedy);
    return;
  }
  std::string value = found->asString();
  if (!aCheck(value)) {
    report(pathOf(aKey), "\"" + value.substr(0, kMaxQuotedLength) + "\" is not accepted", aRemedy);
    return;
  }
  aTarget = std::move(value);
}

void FieldReader::integer(const char* aKey, int& aTarget, Need aNeed, int aMin, int aMax)
{
  const Json::Value* found = member(aKey, aNeed);
  if (found == nullptr) {
    return;
  }
  if (!found->isInt() || found->asInt() < aMin || found->asInt() > aMax) {
    report(pathOf(aKey),
           found->isNumeric() ? "is out of range" : typeName(*found) + " is not an integer",
           "give an integer from " + std::to_string(aMin) + " to " + std::to_string(aMax));
    return;
  }
  aTarget = found->asInt();
}

void FieldReader::count(const char* aKey, uint64_t& aTarget, Need aNeed, uint64_t aMin)
{
  const Json::Value* found = member(aKey, aNeed);
  if (found == nullptr) {
    return;
  }
  if (!found->isUInt64() || found->asUInt64() < aMin) {
    report(pathOf(aKey),
           found->isNumeric() ? "is out of range" : typeName(*found) + " is not an integer",
           "give an integer of at least " + std::to_string(aMin));
    return;
  }
  aTarget = found->asUInt64();
}

void FieldReader::flag(const char* aKey, bool& aTarget, Need aNeed)
{
  const Json::Value* found = member(aKey, aNeed);
  if (found == nullptr) {
    return;
  }
  if (!found->isBool()) {
    report(pathOf(aKey), typeName(*found) + " is not a boolean", "give true or false");
    return;
  }
  aTarget = found->asBool();
}

void FieldReader::list(const char* aKey,
                       Need aNeed,
                       size_t aMaxLength,
                       const std::function<void(const Json::Value&, const std::string&)>& aRead)
{
  const Json::Value* found = member(aKey, aNeed);
  if (found == nullptr) {
    return;
  }
  if (!found->isArray()) {
    report(pathOf(aKey), typeName(*found) + " is not a list", "give [...]");
    return;
  }
  if (found->size() > aMaxLength) {
    report(pathOf(aKey),
           "has " + std::to_string(found->size()) + " elements",
           "give at most " + std::to_string(aMaxLength));
    return;
  }
  for (Json::ArrayIndex i = 0; i < found->size(); ++i) {
    aRead((*found)[i], pathOf(aKey) + "[" + std::to_string(i) + "]");
  }
}

void FieldReader::texts(const char* aKey,
                        std::vector<std::string>& aTarget,
                        size_t aMaxLength,
                        const Check& aCheck,
                        const char* aRemedy)
{
  std::vector<std::string> values;
  list(
    aKey, Need::Optional, aMaxLength, [&](const Json::Value& aValue, const std::string& aElement) {
      if (!aValue.isString()) {
        report(aElement, typeName(aValue) + " is not a string", aRemedy);
        return;
      }
      std::string value = aValue.asString();
      if (!aCheck(value)) {
        report(aElement, "\"" + value.substr(0, kMaxQuotedLength) + "\" is not accepted", aRemedy);
      } else if (std::find(values.begin(), values.end(), value) != values.end()) {
        report(aElement, "\"" + value + "\" occurs twice", "list it once");
      } else {
        values.push_back(std::move(value));
      }
    });
  aTarget = std::move(values);
}

void FieldReader::finish()
{
  if (!mIsObject) {
    return;
  }
  for (const std::string& key : mValue.getMemberNames()) {
    if (!mKnown.contains(key)) {
      report(pathOf(key.substr(0, kMaxQuotedLength)),
             "is not a known field",
             "remove it or correct its name");
    }
  }
}

} // namespace boragepitch::resources
