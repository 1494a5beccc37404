#include "net/HttpClient.h"

#include <atomic>
#include <charconv>
#include <map>
#include <mutex>
#include <vector>

#include "BoundedClient.h"

namespace boragepitch::net {

struct HttpClient::Impl
{
  Impl(Address aServer, ClientOptions aOptions)
    : server(std::move(aServer))
    , client(server.host, server.port, aOptions.readTimeout, aOptions.writeTimeout)
  {
    client.set_connection_timeout(aOptions.connectTimeout);
    client.set_keep_alive(aOptions.keepAlive);
    client.set_tcp_nodelay(true);
    client.set_url_encode(false);
    client.set_decompress(false);
  }

  Address server;
  BoundedClient client;
  std::atomic<bool> cancelled{ false };
  CallProgress lastCall;
  std::atomic<uint64_t> receivedBytes{ 0 };
};

namespace {

base::Error toError(httplib::Error aError, const Address& aServer)
{
  using base::ErrorKind;
  base::Error error;
  error.field = aServer.toString();
  switch (aError) {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
      error.kind = ErrorKind::Unavailable;
      error.message = "connection refused or timed out";
      error.remedy = "check that the server runs and is reachable";
      break;
    case httplib::Error::Canceled:
      error.kind = ErrorKind::Cancelled;
      error.message = "call cancelled";
      break;
    default:
      error.kind = ErrorKind::UnknownOutcome;
      error.message = "connection broke: " + httplib::to_string(aError);
      error.remedy = "ask for the outcome before repeating a call that is not idempotent";
      break;
  }
  return error;
}

std::optional<uint64_t> contentLength(const ClientResponse& aHead)
{
  auto text = aHead.header("Content-Length");
  uint64_t length = 0;
  if (!text ||
      std::from_chars(text->data(), text->data() + text->size(), length).ec != std::errc()) {
    return std::nullopt;
  }
  return length;
}

base::Milliseconds timeSince(base::TimePoint aStart)
{
  return std::chrono::duration_cast<base::Milliseconds>(std::chrono::steady_clock::now() - aStart);
}

tl::unexpected<base::Error> timeoutError(const ClientRequest& aRequest,
                                         const CallProgress& aProgress,
                                         const Address& aServer)
{
  std::string message =
    "response took longer than " + std::to_string(aRequest.totalTimeout.count()) + " ms";
  if (aRequest.progress && aProgress.untilHead) {
    message = "response brought fewer than " + std::to_string(aRequest.progress->bytes) +
              " bytes in " + std::to_string(aRequest.progress->window.count()) + " ms, after " +
              std::to_string(aProgress.bodyBytes) + " bytes";
  }
  return base::fail(base::ErrorKind::Timeout,
                    aServer.toString(),
                    std::move(message),
                    "raise the deadline or retry later");
}

/** Starts the next window of the limit. */
void postponeDeadline(CallState& aCallState, const std::optional<ProgressLimit>& aLimit)
{
  if (aLimit) {
    aCallState.deadline = std::chrono::steady_clock::now() + aLimit->window;
    aCallState.bytesDue = aCallState.bodyBytes + aLimit->bytes;
  }
}

/** Whether a status ends a call; HTTP defines no others from 200, and interim ones are below. */
bool isFinalStatus(int aStatus)
{
  return aStatus >= 200 && aStatus <= 599;
}

} // namespace

HttpClient::HttpClient(Address aServer, ClientOptions aOptions)
  : mImpl(std::make_unique<Impl>(std::move(aServer), aOptions))
{
}

HttpClient::~HttpClient() = default;

base::Result<ClientResponse> HttpClient::send(const ClientRequest& aRequest, size_t aMaxBodyBytes)
{
  std::string body;
  bool tooLarge = false;
  auto result = stream(
    aRequest,
    [&](const ClientResponse& aHead) {
      tooLarge = contentLength(aHead).value_or(0) > aMaxBodyBytes;
      return !tooLarge;
    },
    [&](std::string_view aBytes) {
      if (body.size() + aBytes.size() > aMaxBodyBytes) {
        tooLarge = true;
        return false;
      }
      body.append(aBytes);
      return true;
    });
  if (tooLarge) {
    return base::fail(base::ErrorKind::TooLarge,
                      mImpl->server.toString(),
                      "response body exceeds " + std::to_string(aMaxBodyBytes) + " bytes",
                      "ask for less at once");
  }
  if (result) {
    result->body = std::move(body);
  }
  return result;
}

base::Result<ClientResponse> HttpClient::stream(
  const ClientRequest& aRequest,
  const std::function<bool(const ClientResponse&)>& aOnHead,
  const std::function<bool(std::string_view)>& aOnData)
{
  CallState& callState = mImpl->client.callState;
  callState = {};
  CallProgress& progress = mImpl->lastCall;
  progress = {};
  auto startedAt = std::chrono::steady_clock::now();
  if (aRequest.totalTimeout.count() > 0) {
    callState.deadline = startedAt + aRequest.totalTimeout;
  }
  httplib::Request request;
  request.method = aRequest.method;
  request.path = aRequest.target;
  for (const auto& [name, value] : aRequest.headers) {
    request.headers.emplace(name, value);
  }
  request.body = aRequest.body;
  if (!aRequest.body.empty()) {
    request.headers.emplace("Content-Type", aRequest.contentType);
  }
  ClientResponse head;
  bool hasInvalidStatus = false;
  request.response_handler = [&](const httplib::Response& aResponse) {
    callState.hasHead = true;
    hasInvalidStatus = !isFinalStatus(aResponse.status);
    if (hasInvalidStatus) {
      return false;
    }
    head.status = aResponse.status;
    head.headers.clear();
    for (const auto& [name, value] : aResponse.headers) {
      head.headers.emplace(name, value);
    }
    progress.untilHead = timeSince(startedAt);
    postponeDeadline(callState, aRequest.progress);
    progress.announcedBytes = contentLength(head);
    return !mImpl->cancelled && aOnHead(head);
  };
  request.content_receiver = [&](const char* aData, size_t aSize, uint64_t, uint64_t) {
    callState.bodyBytes += aSize;
    mImpl->receivedBytes += aSize;
    if (aRequest.progress && callState.bodyBytes >= callState.bytesDue) {
      postponeDeadline(callState, aRequest.progress);
    }
    return !mImpl->cancelled && aOnData({ aData, aSize });
  };
  if (mImpl->cancelled) {
    return base::fail(base::ErrorKind::Cancelled, mImpl->server.toString(), "call cancelled", "");
  }
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  bool succeeded = mImpl->client.send(request, response, error);
  progress.total = timeSince(startedAt);
  progress.bodyBytes = callState.bodyBytes;
  if (callState.hasExcessOverhead) {
    return base::fail(base::ErrorKind::TooLarge,
                      mImpl->server.toString(),
                      "response has a head or framing without end",
                      "check the server");
  }
  if (callState.hasTimedOut) {
    return timeoutError(aRequest, progress, mImpl->server);
  }
  if (mImpl->cancelled) {
    return base::fail(base::ErrorKind::Cancelled, mImpl->server.toString(), "call cancelled", "");
  }
  // The handler above is not called for answers without a body.
  if (hasInvalidStatus || (succeeded && !isFinalStatus(response.status))) {
    return base::fail(base::ErrorKind::UnknownOutcome,
                      mImpl->server.toString(),
                      "response has no valid final status",
                      "ask for the outcome before repeating a call that is not idempotent");
  }
  if (!succeeded) {
    return tl::make_unexpected(toError(error, mImpl->server));
  }
  return head;
}

CallProgress HttpClient::lastCall() const
{
  return mImpl->lastCall;
}

uint64_t HttpClient::receivedBytes() const
{
  return mImpl->receivedBytes;
}

void HttpClient::cancel()
{
  mImpl->cancelled = true;
  mImpl->client.stop();
}

const Address& HttpClient::server() const
{
  return mImpl->server;
}

struct ClientPool::Impl
{
  ClientOptions options;
  size_t maxIdle;
  std::mutex mutex;
  std::map<Address, std::vector<std::unique_ptr<HttpClient>>> idle;
};

ClientPool::ClientPool(ClientOptions aOptions, size_t aMaxIdlePerServer)
  : mImpl(std::make_unique<Impl>())
{
  mImpl->options = aOptions;
  mImpl->options.keepAlive = true;
  mImpl->maxIdle = aMaxIdlePerServer;
}

ClientPool::~ClientPool() = default;

std::unique_ptr<HttpClient> ClientPool::acquire(const Address& aServer)
{
  {
    std::lock_guard lock(mImpl->mutex);
    auto found = mImpl->idle.find(aServer);
    if (found != mImpl->idle.end() && !found->second.empty()) {
      auto client = std::move(found->second.back());
      found->second.pop_back();
      return client;
    }
  }
  return std::make_unique<HttpClient>(aServer, mImpl->options);
}

void ClientPool::release(std::unique_ptr<HttpClient> aClient)
{
  std::lock_guard lock(mImpl->mutex);
  auto& idle = mImpl->idle[aClient->server()];
  if (idle.size() < mImpl->maxIdle) {
    idle.push_back(std::move(aClient));
  }
}

} // namespace boragepitch::net
