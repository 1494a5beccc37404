#include "settings/Settings.h"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>

#include <ini.h>

namespace boragepitch::settings {

namespace {

using base::Error;
using base::ErrorKind;

constexpr size_t kMaxFileBytes = 1 << 20;

std::string trim(std::string_view aText)
{
  size_t begin = aText.find_first_not_of(" \t\r");
  if (begin == std::string_view::npos) {
    return "";
  }
  return std::string(aText.substr(begin, aText.find_last_not_of(" \t\r") - begin + 1));
}

std::vector<std::string> splitList(const std::string& aText)
{
  std::vector<std::string> parts;
  std::stringstream stream(aText);
  for (std::string part; std::getline(stream, part, ',');) {
    if (std::string trimmed = trim(part); !trimmed.empty()) {
      parts.push_back(trimmed);
    }
  }
  return parts;
}

template<typename T>
std::optional<T> parseNumber(const std::string& aText)
{
  T value{};
  auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (error != std::errc() || end != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return value;
}

std::string formatNumber(double aValue)
{
  std::ostringstream out;
  out.precision(15);
  out << aValue;
  return out.str();
}

std::string acceptedRange(const Key& aKey)
{
  switch (aKey.type) {
    case KeyType::Text:
      return "any text";
    case KeyType::Choice: {
      std::string text = "one of";
      for (const std::string& choice : aKey.choices) {
        text += " " + choice;
      }
      return text;
    }
    case KeyType::Integer:
    case KeyType::Number:
    case KeyType::Duration:
      return (aKey.type == KeyType::Number ? "number from " : "integer from ") +
             formatNumber(aKey.min) + " to " + formatNumber(aKey.max) +
             (aKey.unit.empty() ? "" : " " + aKey.unit);
    case KeyType::Flag:
      return "true or false";
    case KeyType::Address:
      return "IPv4 number and port, such as 127.0.0.1:7000";
    case KeyType::Addresses:
      return "comma-separated IPv4 numbers with ports, such as 127.0.0.1:7000";
  }
  return "";
}

bool accepts(const Key& aKey, const std::string& aValue)
{
  auto inRange = [&](double aNumber) { return aNumber >= aKey.min && aNumber <= aKey.max; };
  switch (aKey.type) {
    case KeyType::Text:
      return !aKey.required || !aValue.empty();
    case KeyType::Choice:
      return std::find(aKey.choices.begin(), aKey.choices.end(), aValue) != aKey.choices.end();
    case KeyType::Integer:
    case KeyType::Duration: {
      auto number = parseNumber<int64_t>(aValue);
      return number && inRange(static_cast<double>(*number));
    }
    case KeyType::Number: {
      auto number = parseNumber<double>(aValue);
      return number && inRange(*number);
    }
    case KeyType::Flag:
      return aValue == "true" || aValue == "false";
    case KeyType::Address:
      return net::parseAddress(aValue).has_value();
    case KeyType::Addresses: {
      auto parts = splitList(aValue);
      return std::all_of(parts.begin(), parts.end(), [](const std::string& aPart) {
        return net::parseAddress(aPart).has_value();
      });
    }
  }
  return false;
}

/** One name=value line of the file. */
struct Line
{
  int number = 0;
  std::string section;
  std::string name;
  std::string value;
};

/** Feeds inih line by line, so that each value's line number is known. */
struct LineSource
{
  std::string_view rest;
  int number = 0;
  std::vector<Line> lines;
};

char* readLine(char* aBuffer, int aSize, void* aSource)
{
  auto& source = *static_cast<LineSource*>(aSource);
  if (source.rest.empty() || aSize < 2) {
    return nullptr;
  }
  size_t length = source.rest.find('\n');
  length = length == std::string_view::npos ? source.rest.size() : length + 1;
  size_t copied = std::min(length, static_cast<size_t>(aSize) - 1);
  std::memcpy(aBuffer, source.rest.data(), copied);
  aBuffer[copied] = '\0';
  source.rest.remove_prefix(length);
  ++source.number;
  return aBuffer;
}

int appendLine(void* aSource, const char* aSection, const char* aName, const char* aValue)
{
  auto& source = *static_cast<LineSource*>(aSource);
  source.lines.push_back({ source.number, aSection, aName, trim(aValue) });
  return 1;
}

Error settingError(const std::string& aFile,
                   int aLine,
                   const std::string& aKey,
                   std::string aMessage,
                   std::string aRemedy)
{
  Error error;
  error.kind = ErrorKind::Invalid;
  error.field = aFile + (aLine > 0 ? ":" + std::to_string(aLine) : "") + " " + aKey;
  error.message = std::move(aMessage);
  error.remedy = std::move(aRemedy);
  return error;
}

} // namespace

const std::string& Settings::text(const std::string& aKey) const
{
  auto found = mValues.find(aKey);
  if (found == mValues.end()) {
    throw std::logic_error("setting " + aKey + " is not in the schema");
  }
  return found->second;
}

int64_t Settings::integer(const std::string& aKey) const
{
  return parseNumber<int64_t>(text(aKey)).value();
}

double Settings::number(const std::string& aKey) const
{
  return parseNumber<double>(text(aKey)).value();
}

bool Settings::flag(const std::string& aKey) const
{
  return text(aKey) == "true";
}

base::Milliseconds Settings::duration(const std::string& aKey) const
{
  return base::Milliseconds(integer(aKey));
}

net::Address Settings::address(const std::string& aKey) const
{
  return net::parseAddress(text(aKey)).value();
}

std::vector<std::string> Settings::list(const std::string& aKey) const
{
  return splitList(text(aKey));
}

std::vector<net::Address> Settings::addresses(const std::string& aKey) const
{
  std::vector<net::Address> addresses;
  for (const std::string& part : list(aKey)) {
    addresses.push_back(net::parseAddress(part).value());
  }
  return addresses;
}

std::map<std::string, std::string> Settings::section(const std::string& aSection) const
{
  auto found = mSections.find(aSection);
  return found == mSections.end() ? std::map<std::string, std::string>{} : found->second;
}

Schema::Builder& Schema::Builder::text(std::string aKey, std::string aHelp)
{
  mKeys.push_back({ .name = std::move(aKey), .help = std::move(aHelp), .required = true });
  return *this;
}

Schema::Builder& Schema::Builder::text(std::string aKey, std::string aHelp, std::string aDefault)
{
  mKeys.push_back(
    { .name = std::move(aKey), .help = std::move(aHelp), .defaultValue = std::move(aDefault) });
  return *this;
}

Schema::Builder& Schema::Builder::choice(std::string aKey,
                                         std::string aHelp,
                                         std::vector<std::string> aChoices,
                                         std::string aDefault)
{
  mKeys.push_back({ .name = std::move(aKey),
                    .type = KeyType::Choice,
                    .help = std::move(aHelp),
                    .choices = std::move(aChoices),
                    .defaultValue = std::move(aDefault) });
  return *this;
}

Schema::Builder& Schema::Builder::integer(std::string aKey,
                                          std::string aHelp,
                                          std::string aUnit,
                                          int64_t aMin,
                                          int64_t aMax,
                                          int64_t aDefault)
{
  mKeys.push_back({ .name = std::move(aKey),
                    .type = KeyType::Integer,
                    .help = std::move(aHelp),
                    .unit = std::move(aUnit),
                    .min = static_cast<double>(aMin),
                    .max = static_cast<double>(aMax),
                    .defaultValue = std::to_string(aDefault) });
  return *this;
}

Schema::Builder& Schema::Builder::number(std::string aKey,
                                         std::string aHelp,
                                         std::string aUnit,
                                         double aMin,
                                         double aMax,
                                         double aDefault)
{
  mKeys.push_back({ .name = std::move(aKey),
                    .type = KeyType::Number,
                    .help = std::move(aHelp),
                    .unit = std::move(aUnit),
                    .min = aMin,
                    .max = aMax,
                    .defaultValue = formatNumber(aDefault) });
  return *this;
}

Schema::Builder& Schema::Builder::flag(std::string aKey, std::string aHelp, bool aDefault)
{
  mKeys.push_back({ .name = std::move(aKey),
                    .type = KeyType::Flag,
                    .help = std::move(aHelp),
                    .defaultValue = aDefault ? "true" : "false" });
  return *this;
}

Schema::Builder& Schema::Builder::duration(std::string aKey,
                                           std::string aHelp,
                                           int64_t aMinMs,
                                           int64_t aMaxMs,
                                           int64_t aDefaultMs)
{
  integer(std::move(aKey), std::move(aHelp), "ms", aMinMs, aMaxMs, aDefaultMs);
  mKeys.back().type = KeyType::Duration;
  return *this;
}

Schema::Builder& Schema::Builder::address(std::string aKey, std::string aHelp)
{
  mKeys.push_back({ .name = std::move(aKey),
                    .type = KeyType::Address,
                    .help = std::move(aHelp),
                    .required = true });
  return *this;
}

Schema::Builder& Schema::Builder::address(std::string aKey, std::string aHelp, std::string aDefault)
{
  address(std::move(aKey), std::move(aHelp));
  mKeys.back().required = false;
  mKeys.back().defaultValue = std::move(aDefault);
  return *this;
}

Schema::Builder& Schema::Builder::addresses(std::string aKey, std::string aHelp)
{
  mKeys.push_back(
    { .name = std::move(aKey), .type = KeyType::Addresses, .help = std::move(aHelp) });
  return *this;
}

Schema::Builder& Schema::Builder::freeSection(std::string aSection,
                                              std::string aHelp,
                                              size_t aMinLength)
{
  mFreeSections[std::move(aSection)] = { std::move(aHelp), aMinLength };
  return *this;
}

Schema Schema::Builder::build()
{
  Schema schema;
  schema.mKeys = mKeys;
  schema.mFreeSections = mFreeSections;
  return schema;
}

tl::expected<Settings, std::vector<Error>> Schema::load(const std::string& aPath) const
{
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return tl::make_unexpected(std::vector<Error>{
      settingError(aPath, 0, "", "cannot read the file", "check the path and its permissions") });
  }
  return parse(text.str(), aPath);
}

tl::expected<Settings, std::vector<Error>> Schema::parse(std::string_view aText,
                                                         const std::string& aName) const
{
  std::vector<Error> errors;
  if (aText.size() > kMaxFileBytes) {
    errors.push_back(settingError(aName, 0, "", "file is too large", "keep it under 1 MiB"));
    return tl::make_unexpected(errors);
  }
  // inih reads into a fixed buffer of INI_MAX_LINE (200) bytes, so a longer line would be truncated
  // silently.
  constexpr size_t kMaxLineLength = 190;
  LineSource source{ .rest = aText };
  std::string_view rest = aText;
  for (int number = 1; !rest.empty(); ++number) {
    size_t length = std::min(rest.find('\n'), rest.size());
    if (length > kMaxLineLength || rest.substr(0, length).find('\0') != std::string_view::npos) {
      errors.push_back(settingError(aName,
                                    number,
                                    "",
                                    "line is too long or holds a NUL byte",
                                    "keep lines under 190 characters of text"));
    }
    rest.remove_prefix(std::min(length + 1, rest.size()));
  }
  int malformed = ini_parse_stream(readLine, &source, appendLine, &source);
  if (malformed != 0) {
    errors.push_back(settingError(
      aName, malformed, "", "malformed line", "write [section], name = value or ; comment"));
  }

  Settings settings;
  std::set<std::string> seen;
  for (const Line& line : source.lines) {
    std::string name = line.section + "." + line.name;
    if (!seen.insert(name).second) {
      errors.push_back(
        settingError(aName, line.number, name, "given more than once", "keep one of the lines"));
      continue;
    }
    if (auto freeSection = mFreeSections.find(line.section); freeSection != mFreeSections.end()) {
      size_t minLength = freeSection->second.second;
      if (line.value.size() < minLength) {
        errors.push_back(
          settingError(aName,
                       line.number,
                       name,
                       "value is too short",
                       "give at least " + std::to_string(minLength) + " characters"));
      }
      settings.mSections[line.section][line.name] = line.value;
      continue;
    }
    auto key =
      std::find_if(mKeys.begin(), mKeys.end(), [&](const Key& aKey) { return aKey.name == name; });
    if (key == mKeys.end()) {
      errors.push_back(settingError(
        aName, line.number, name, "unknown key", "remove it; see docs/settings.md for all keys"));
    } else if (line.value.empty() && !key->required) {
      // A template whose placeholder has no value renders an empty one.
      settings.mValues[name] = key->defaultValue;
    } else if (!accepts(*key, line.value)) {
      errors.push_back(settingError(aName,
                                    line.number,
                                    name,
                                    "'" + line.value + "' is not accepted",
                                    "give " + acceptedRange(*key)));
    } else {
      settings.mValues[name] = line.value;
    }
  }
  for (const Key& key : mKeys) {
    if (seen.count(key.name) != 0) {
      continue;
    }
    if (key.required) {
      errors.push_back(
        settingError(aName, 0, key.name, "required key is missing", "give " + acceptedRange(key)));
    }
    settings.mValues[key.name] = key.defaultValue;
  }
  if (!errors.empty()) {
    return tl::make_unexpected(errors);
  }
  return settings;
}

std::string Schema::reference() const
{
  std::string text = "| key | accepted | default | meaning |\n|---|---|---|---|\n";
  for (const Key& key : mKeys) {
    text += "| `" + key.name + "` | " + acceptedRange(key) + " | " +
            (key.required ? "required" : "`" + key.defaultValue + "`") + " | " + key.help + " |\n";
  }
  for (const auto& [section, entry] : mFreeSections) {
    text += "| `" + section + ".*` | text of at least " + std::to_string(entry.second) +
            " characters | none | " + entry.first + " |\n";
  }
  return text;
}

} // namespace boragepitch::settings
