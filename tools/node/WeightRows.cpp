#include "WeightRows.h"

#include <charconv>

#include "base/Json.h"

namespace boragepitch::tools {

namespace {

constexpr std::string_view kDeclaredPrefix = "declared/";
constexpr std::string_view kSetupPrefix = "setup/";
constexpr std::string_view kManifestPrefix = "manifest/";

/** Parses the text as a number; empty unless the whole text is one. */
template<typename Number>
std::optional<Number> parseNumber(std::string_view aText)
{
  Number value = 0;
  auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), value);
  bool isWhole = error == std::errc() && end == aText.data() + aText.size();
  return isWhole ? std::optional(value) : std::nullopt;
}

} // namespace

std::string declaredKey(std::string_view aModel, uint64_t aVersion)
{
  return std::string(kDeclaredPrefix) + std::string(aModel) + "/" + std::to_string(aVersion);
}

std::pair<std::string, std::string> declaredRange(std::string_view aModel)
{
  std::string prefix = std::string(kDeclaredPrefix) + std::string(aModel);
  // Versions are decimal digits, which ':' follows in byte order.
  return { prefix + "/0", prefix + "/:" };
}

std::string writeDeclaredTime(base::Milliseconds aAt)
{
  return std::to_string(aAt.count());
}

std::optional<DeclaredRow> readDeclaredRow(std::string_view aKey, std::string_view aValue)
{
  if (!aKey.starts_with(kDeclaredPrefix)) {
    return std::nullopt;
  }
  std::string_view name = aKey.substr(kDeclaredPrefix.size());
  size_t slash = name.rfind('/');
  if (slash == std::string_view::npos || slash == 0) {
    return std::nullopt;
  }
  auto version = parseNumber<uint64_t>(name.substr(slash + 1));
  auto at = parseNumber<int64_t>(aValue);
  if (!version || !at) {
    return std::nullopt;
  }
  return DeclaredRow{ std::string(name.substr(0, slash)), *version, base::Milliseconds(*at) };
}

std::string setupKey(std::string_view aService)
{
  return std::string(kSetupPrefix) + std::string(aService);
}

std::string writeWeightSetup(const WeightSetup& aSetup)
{
  Json::Value json;
  json["model"] = aSetup.model;
  json["origin"] = aSetup.origin.toString();
  json["originZone"] = aSetup.originZone;
  json["mayMoveStreams"] = aSetup.mayMoveStreams;
  return base::writeJson(json);
}

base::Result<WeightSetup> readWeightSetup(std::string_view aText)
{
  auto json = base::parseJson(aText);
  if (!json) {
    return tl::make_unexpected(json.error());
  }
  auto model = base::requireString(*json, "model");
  auto origin = net::parseAddress(base::stringOr(*json, "origin"));
  if (!model || !origin) {
    return tl::make_unexpected(model ? origin.error() : model.error());
  }
  return WeightSetup{ *model,
                      *origin,
                      base::stringOr(*json, "originZone"),
                      base::boolOr(*json, "mayMoveStreams", false) };
}

std::string manifestKey(std::string_view aModel, std::string_view aVersion)
{
  return std::string(kManifestPrefix) + std::string(aModel) + "/" + std::string(aVersion);
}

bool isManifestKey(std::string_view aKey)
{
  return aKey.starts_with(kManifestPrefix);
}

} // namespace boragepitch::tools
