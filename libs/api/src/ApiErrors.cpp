#include "ApiErrors.h"

#include <algorithm>

#include "base/Json.h"

namespace boragepitch::api {

namespace {

// Enough to correct a file in one pass; bounds the response to a body with many errors.
constexpr size_t kMaxErrors = 100;
constexpr int64_t kMillisecondsPerSecond = 1000;

/** Maps an internal kind to the nearest kind of the API (docs/design.md, section 5.1). */
base::ErrorKind publicKind(base::ErrorKind aKind)
{
  switch (aKind) {
    case base::ErrorKind::Timeout:
      return base::ErrorKind::UnknownOutcome;
    case base::ErrorKind::Cancelled:
    case base::ErrorKind::Internal:
    case base::ErrorKind::Corrupt:
      return base::ErrorKind::Unavailable;
    default:
      return aKind;
  }
}

Json::Value toJson(const base::Error& aError)
{
  Json::Value json(Json::objectValue);
  json["kind"] = std::string(base::toString(publicKind(aError.kind)));
  json["field"] = aError.field;
  json["message"] = aError.message;
  json["remedy"] = aError.remedy;
  return json;
}

} // namespace

int statusOf(base::ErrorKind aKind)
{
  switch (publicKind(aKind)) {
    case base::ErrorKind::Invalid:
      return 400;
    case base::ErrorKind::Unauthorized:
      return 401;
    case base::ErrorKind::NotFound:
      return 404;
    case base::ErrorKind::Conflict:
      return 409;
    case base::ErrorKind::TooLarge:
      return 413;
    case base::ErrorKind::UnknownOutcome:
      return 504;
    default:
      return 503;
  }
}

net::HttpResponse jsonResponse(int aStatus, const Json::Value& aBody)
{
  net::HttpResponse response;
  response.status = aStatus;
  response.body = base::writeJson(aBody);
  return response;
}

net::HttpResponse errorResponse(const std::vector<base::Error>& aErrors)
{
  const base::Error& first = aErrors.front();
  Json::Value body(Json::objectValue);
  body["error"] = toJson(first);
  for (size_t i = 1; i < std::min(aErrors.size(), kMaxErrors); ++i) {
    body["errors"].append(toJson(aErrors[i]));
  }
  net::HttpResponse response = jsonResponse(statusOf(first.kind), body);
  if (response.status == 503) {
    int64_t milliseconds = std::max<int64_t>(first.retryAfter.count(), 1);
    int64_t seconds = (milliseconds + kMillisecondsPerSecond - 1) / kMillisecondsPerSecond;
    response.headers.emplace_back("Retry-After", std::to_string(seconds));
  }
  return response;
}

net::HttpResponse errorResponse(const base::Error& aError)
{
  return errorResponse(std::vector{ aError });
}

} // namespace boragepitch::api
