#include "Messages.h"

#include <charconv>

#include "base/Digest.h"
#include "base/Json.h"

namespace boragepitch::gateway {

std::string_view toString(Ran aRan)
{
  switch (aRan) {
    case Ran::No:
      return "no";
    case Ran::Yes:
      return "yes";
    case Ran::Unknown:
      return "unknown";
  }
  return "unknown";
}

std::string refusalBody(const Refusal& aRefusal)
{
  Json::Value body;
  body["error"]["kind"] = aRefusal.kind;
  body["error"]["message"] = aRefusal.message;
  body["error"]["remedy"] = aRefusal.remedy;
  body["ran"] = std::string(toString(aRefusal.ran));
  body["retryAfterMs"] = Json::Int64(base::toMilliseconds(aRefusal.retryAfter));
  return base::writeJson(body);
}

net::HttpResponse toResponse(const Refusal& aRefusal)
{
  net::HttpResponse response;
  response.status = aRefusal.status;
  response.headers.emplace_back(kRan, toString(aRefusal.ran));
  if (aRefusal.retryAfter > base::Duration::zero()) {
    // The header has whole seconds; rounded up, since an earlier retry would be refused again.
    auto seconds = std::chrono::ceil<std::chrono::seconds>(aRefusal.retryAfter).count();
    response.headers.emplace_back("Retry-After", std::to_string(seconds));
  }
  response.body = refusalBody(aRefusal);
  return response;
}

std::optional<int64_t> integerHeader(const net::Headers& aHeaders,
                                     const char* aName,
                                     int64_t aMin,
                                     int64_t aMax,
                                     int64_t aDefault)
{
  auto found = aHeaders.find(std::string_view(aName));
  if (found == aHeaders.end()) {
    return aDefault;
  }
  const std::string& text = found->second;
  int64_t value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value < aMin || value > aMax) {
    return std::nullopt;
  }
  return value;
}

std::string toHex(std::string_view aBytes)
{
  return base::toHex(base::asBytes(aBytes));
}

std::string fromHex(std::string_view aHex)
{
  std::string bytes;
  for (size_t i = 0; i + 1 < aHex.size(); i += 2) {
    int value = 0;
    std::from_chars(aHex.data() + i, aHex.data() + i + 2, value, 16);
    bytes += static_cast<char>(value);
  }
  return bytes;
}

std::string encodeTarget(std::string_view aPath, const std::map<std::string, std::string>& aQuery)
{
  std::string target;
  while (!aPath.empty()) {
    size_t end = std::min(aPath.find('/'), aPath.size());
    target += "/" + net::percentEncode(aPath.substr(0, end));
    aPath.remove_prefix(std::min(end + 1, aPath.size()));
  }
  target = target.empty() ? "/" : target;
  char separator = '?';
  for (const auto& [name, value] : aQuery) {
    target += separator + net::percentEncode(name) + "=" + net::percentEncode(value);
    separator = '&';
  }
  return target;
}

} // namespace boragepitch::gateway
