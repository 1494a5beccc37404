#include "rpc/Rpc.h"

#include <atomic>
#include <optional>

#include "JsonRpcBridge.h"
#include "base/Json.h"
#include "net/HttpClient.h"

namespace boragepitch::rpc {

namespace {

// Application errors use codes below the range that JSON-RPC 2.0 reserves (-32768 to -32000).
constexpr int kErrorCodeBase = -40000;
constexpr const char* kAuthHeader = "X-BP-Auth";

/** Receiver to sign in an answer. It contains the header of the request, so that the answer is
 * valid for that request only. */
std::string answerReceiver(std::string_view aRequestHeader)
{
  return "answer to " + std::string(aRequestHeader);
}

class OpenAuthenticator final : public Authenticator
{
public:
  std::string sign(std::string_view, std::string_view) override { return "open"; }
  base::Status verify(std::string_view, std::string_view, std::string_view) override { return {}; }
};

bridge::Outcome toOutcome(const base::Result<Json::Value>& aResult)
{
  bridge::Outcome outcome;
  if (aResult) {
    outcome.ok = true;
    outcome.result = *aResult;
    return outcome;
  }
  const base::Error& error = aResult.error();
  outcome.failure.code = kErrorCodeBase - static_cast<int>(error.kind);
  outcome.failure.message = error.message;
  outcome.failure.data["field"] = error.field;
  outcome.failure.data["remedy"] = error.remedy;
  return outcome;
}

base::Error toError(const bridge::Failure& aFailure, const net::Address& aServer)
{
  base::Error error;
  int kind = kErrorCodeBase - aFailure.code;
  bool known = kind >= 0 && kind <= static_cast<int>(base::ErrorKind::Internal);
  error.kind = known ? static_cast<base::ErrorKind>(kind) : base::ErrorKind::Internal;
  error.message = aFailure.message;
  error.field = base::stringOr(aFailure.data, "field", aServer.toString());
  error.remedy = base::stringOr(aFailure.data, "remedy");
  return error;
}

} // namespace

std::unique_ptr<Authenticator> makeOpenAuthenticator()
{
  return std::make_unique<OpenAuthenticator>();
}

struct RpcServer::Impl
{
  Authenticator& authenticator;
  std::string ownAddress;
  bridge::Dispatcher dispatcher;
  std::atomic<uint64_t> calls{ 0 };
  std::atomic<uint64_t> sent{ 0 };
  std::atomic<uint64_t> received{ 0 };
};

RpcServer::RpcServer(Authenticator& aAuthenticator, std::string aOwnAddress)
  : mImpl(new Impl{ aAuthenticator, std::move(aOwnAddress), {}, {}, {}, {} })
{
}

RpcServer::~RpcServer() = default;

void RpcServer::addMethod(const std::string& aName, RpcMethod aMethod)
{
  mImpl->dispatcher.add(aName, [method = std::move(aMethod)](const Json::Value& aParams) {
    return toOutcome(method(aParams));
  });
}

void RpcServer::attach(net::HttpServer& aServer)
{
  aServer.route("POST", "/rpc", [this](const net::HttpRequest& aRequest) {
    ++mImpl->calls;
    mImpl->received += aRequest.body.size();
    net::HttpResponse response;
    std::string header = aRequest.header(kAuthHeader).value_or("");
    auto verified = mImpl->authenticator.verify(header, mImpl->ownAddress, aRequest.body);
    if (!verified) {
      response.status = 401;
      response.body = R"({"error":{"kind":"unauthorized"}})";
      return response;
    }
    response.body = mImpl->dispatcher.handle(aRequest.body);
    response.headers.emplace_back(kAuthHeader,
                                  mImpl->authenticator.sign(answerReceiver(header), response.body));
    mImpl->sent += response.body.size();
    return response;
  });
}

uint64_t RpcServer::calls() const
{
  return mImpl->calls;
}

uint64_t RpcServer::bytesSent() const
{
  return mImpl->sent;
}

uint64_t RpcServer::bytesReceived() const
{
  return mImpl->received;
}

struct RpcClient::Impl
{
  Authenticator& authenticator;
  base::Milliseconds timeout;
  std::atomic<uint64_t> calls{ 0 };
  std::atomic<uint64_t> sent{ 0 };
  std::atomic<uint64_t> received{ 0 };
};

RpcClient::RpcClient(Authenticator& aAuthenticator, base::Milliseconds aTimeout)
  : mImpl(new Impl{ aAuthenticator, aTimeout, {}, {}, {} })
{
}

RpcClient::~RpcClient() = default;

base::Result<Json::Value> RpcClient::call(const net::Address& aServer,
                                          const std::string& aMethod,
                                          const Json::Value& aParams)
{
  std::optional<base::Error> transportError;
  bridge::Transport transport = [&](const std::string& aRequest, std::string& aResponse) {
    net::HttpClient client(aServer,
                           { .connectTimeout = mImpl->timeout,
                             .readTimeout = mImpl->timeout,
                             .writeTimeout = mImpl->timeout });
    net::ClientRequest request{ .method = "POST", .target = "/rpc", .body = aRequest };
    request.totalTimeout = 2 * mImpl->timeout;
    std::string header = mImpl->authenticator.sign(aServer.toString(), aRequest);
    request.headers.emplace(kAuthHeader, header);
    auto response = client.send(request);
    ++mImpl->calls;
    mImpl->sent += aRequest.size();
    if (!response) {
      transportError = response.error();
      return response.error().message;
    }
    mImpl->received += response->body.size();
    if (response->status != 200) {
      base::Error refused;
      refused.kind =
        response->status == 401 ? base::ErrorKind::Unauthorized : base::ErrorKind::Unavailable;
      refused.field = aServer.toString();
      refused.message = "peer answered HTTP status " + std::to_string(response->status);
      refused.remedy = "check that both processes share a key";
      transportError = refused;
      return refused.message;
    }
    auto verified = mImpl->authenticator.verify(
      response->header(kAuthHeader).value_or(""), answerReceiver(header), response->body);
    if (!verified) {
      transportError = verified.error();
      return verified.error().message;
    }
    aResponse = std::move(response->body);
    return std::string();
  };
  bridge::Outcome outcome = bridge::call(transport, aMethod, aParams);
  if (transportError) {
    return tl::make_unexpected(*transportError);
  }
  if (!outcome.ok) {
    return tl::make_unexpected(toError(outcome.failure, aServer));
  }
  return outcome.result;
}

uint64_t RpcClient::calls() const
{
  return mImpl->calls;
}

uint64_t RpcClient::bytesSent() const
{
  return mImpl->sent;
}

uint64_t RpcClient::bytesReceived() const
{
  return mImpl->received;
}

} // namespace boragepitch::rpc
