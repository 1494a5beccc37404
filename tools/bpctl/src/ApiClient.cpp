#include "ApiClient.h"

#include <array>

#include "base/Json.h"

namespace boragepitch::bpctl {

namespace {

constexpr base::Milliseconds kConnectTimeout{ 1000 };
// Three heartbeat intervals of the resource API; a watch without data for longer is broken.
constexpr base::Milliseconds kWatchTimeout{ 15'000 };
constexpr size_t kMaxResponseBytes = 64 << 20;
constexpr int kFirstErrorStatus = 300;

base::ErrorKind kindOf(const std::string& aText)
{
  static constexpr std::array kKinds{ base::ErrorKind::Invalid,       base::ErrorKind::Unauthorized,
                                      base::ErrorKind::NotFound,      base::ErrorKind::Conflict,
                                      base::ErrorKind::TooLarge,      base::ErrorKind::Unavailable,
                                      base::ErrorKind::UnknownOutcome };
  for (base::ErrorKind kind : kKinds) {
    if (base::toString(kind) == aText) {
      return kind;
    }
  }
  return base::ErrorKind::Internal;
}

/** Error kind of a response without a typed error, such as one from the HTTP layer. */
base::ErrorKind kindOf(int aStatus)
{
  switch (aStatus) {
    case 401:
      return base::ErrorKind::Unauthorized;
    case 404:
    case 410:
      return base::ErrorKind::NotFound;
    case 413:
      return base::ErrorKind::TooLarge;
    default:
      return aStatus >= 500 ? base::ErrorKind::Unavailable : base::ErrorKind::Invalid;
  }
}

base::Error fromJson(const Json::Value& aError)
{
  base::Error error;
  error.kind = kindOf(base::stringOr(aError, "kind"));
  error.field = base::stringOr(aError, "field");
  error.message = base::stringOr(aError, "message");
  error.remedy = base::stringOr(aError, "remedy");
  return error;
}

} // namespace

base::Error errorOf(const net::ClientResponse& aResponse)
{
  auto body = base::parseJson(aResponse.body, { kMaxResponseBytes, 32 });
  if (!body || !body->isObject() || !(*body)["error"].isObject()) {
    return base::fail(kindOf(aResponse.status),
                      "",
                      "status " + std::to_string(aResponse.status),
                      "check that the address is an entry's public port")
      .value();
  }
  base::Error error = fromJson((*body)["error"]);
  for (const Json::Value& further : (*body)["errors"]) {
    error.remedy += "\nbpctl: " + fromJson(further).describe();
  }
  return error;
}

ApiClient::ApiClient(std::vector<net::Address> aServers,
                     std::string aKey,
                     base::Milliseconds aTimeout)
  : mServers(std::move(aServers))
  , mKey(std::move(aKey))
  , mTimeout(aTimeout)
{
}

net::ClientRequest ApiClient::request(const std::string& aMethod,
                                      const std::string& aTarget,
                                      const Json::Value& aBody) const
{
  net::ClientRequest request;
  request.method = aMethod;
  request.target = "/api/v1/" + aTarget;
  request.totalTimeout = mTimeout;
  if (!aBody.isNull()) {
    request.body = base::writeJson(aBody);
  }
  if (!mKey.empty()) {
    request.headers.emplace("Authorization", "Bearer " + mKey);
  }
  return request;
}

base::Result<Json::Value> ApiClient::call(const std::string& aMethod,
                                          const std::string& aTarget,
                                          const Json::Value& aBody)
{
  bool isRead = aMethod == "GET";
  base::Error last;
  for (size_t tried = 0; tried < mServers.size(); ++tried, selectNextServer()) {
    net::HttpClient client(currentServer(),
                           { .connectTimeout = kConnectTimeout, .readTimeout = mTimeout });
    auto response = client.send(request(aMethod, aTarget, aBody), kMaxResponseBytes);
    if (response && response->status < kFirstErrorStatus) {
      return base::parseJson(response->body, { kMaxResponseBytes, 32 });
    }
    last = response ? errorOf(*response) : response.error();
    if (!response && last.field.empty()) {
      last.field = currentServer().toString();
    }
    if (!response && last.kind == base::ErrorKind::Timeout) {
      last.kind = isRead ? base::ErrorKind::Unavailable : base::ErrorKind::UnknownOutcome;
    }
    bool mayTryNext = last.kind == base::ErrorKind::Unavailable || (isRead && !response);
    if (!mayTryNext) {
      return tl::make_unexpected(last);
    }
  }
  return tl::make_unexpected(last);
}

base::Status ApiClient::stream(const std::string& aTarget,
                               const std::function<bool(std::string_view)>& aOnLine)
{
  net::HttpClient client(currentServer(),
                         { .connectTimeout = kConnectTimeout, .readTimeout = kWatchTimeout });
  net::ClientRequest watch = request("GET", aTarget, Json::nullValue);
  watch.totalTimeout = base::Milliseconds(0);
  net::ClientResponse head;
  std::string pending;
  auto response = client.stream(
    watch,
    [&](const net::ClientResponse& aHead) {
      head = aHead;
      return true;
    },
    [&](std::string_view aPiece) {
      pending += aPiece;
      if (head.status >= kFirstErrorStatus) {
        return true;
      }
      for (size_t end = pending.find('\n'); end != std::string::npos; end = pending.find('\n')) {
        std::string line = pending.substr(0, end);
        pending.erase(0, end + 1);
        if (!aOnLine(line)) {
          return false;
        }
      }
      return true;
    });
  if (head.status >= kFirstErrorStatus) {
    head.body = pending;
    base::Error error = errorOf(head);
    if (error.kind == base::ErrorKind::Unavailable) {
      selectNextServer();
    }
    return tl::make_unexpected(error);
  }
  if (!response) {
    selectNextServer();
    return tl::make_unexpected(response.error());
  }
  return {};
}

base::Result<std::string> ApiClient::fetch(const net::Address& aServer, const std::string& aTarget)
{
  return exchange(aServer, { .target = aTarget, .totalTimeout = mTimeout });
}

base::Result<std::string> ApiClient::ask(const net::Address& aServer,
                                         const std::string& aTarget,
                                         const std::string& aBody)
{
  return exchange(aServer,
                  { .method = "POST", .target = aTarget, .body = aBody, .totalTimeout = mTimeout });
}

base::Result<std::string> ApiClient::exchange(const net::Address& aServer,
                                              const net::ClientRequest& aRequest)
{
  net::HttpClient client(aServer, { .connectTimeout = kConnectTimeout, .readTimeout = mTimeout });
  auto response = client.send(aRequest, kMaxResponseBytes);
  if (!response) {
    base::Error error = response.error();
    error.kind = base::ErrorKind::Unavailable;
    error.field = aServer.toString();
    return tl::make_unexpected(error);
  }
  if (response->status >= kFirstErrorStatus) {
    return tl::make_unexpected(errorOf(*response));
  }
  return response->body;
}

} // namespace boragepitch::bpctl
