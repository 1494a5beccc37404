#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "base/Digest.h"
#include "base/Json.h"
#include "common/Program.h"

using namespace boragepitch;
using namespace boragepitch::standin;

namespace {

const char kUsage[] = R"(standin-service: plain service that counts how often each call is executed.

Usage: standin-service --listen ADDRESS... [options]

Options:
  --listen ADDRESS   IP number and port to listen on; may be repeated.
  --work-ms MS       Duration of an execution [default: 0].
  -h --help          Show this text.
)";

/** Executions by idempotency key, or by the body's digest when there is no key; all listeners of
 * the process share them, as the workers of one service share a database. */
class Executions
{
public:
  uint64_t record(const std::string& aKey)
  {
    std::lock_guard lock(mMutex);
    return ++mCounts[aKey];
  }

  Json::Value stats() const
  {
    std::lock_guard lock(mMutex);
    Json::Value body;
    body["executions"] = 0;
    body["duplicates"] = 0;
    body["counts"] = Json::objectValue;
    for (const auto& [key, count] : mCounts) {
      body["executions"] = Json::UInt64(body["executions"].asUInt64() + count);
      body["duplicates"] = Json::UInt64(body["duplicates"].asUInt64() + count - 1);
      body["counts"][key] = Json::UInt64(count);
    }
    return body;
  }

private:
  mutable std::mutex mMutex;
  std::map<std::string, uint64_t> mCounts;
};

struct Listener
{
  std::unique_ptr<net::HttpServer> server;
  CommonFaults faults;
};

std::string executionKey(const net::HttpRequest& aRequest)
{
  auto key = aRequest.header("Idempotency-Key");
  return key ? *key : base::toHex(base::sha256(base::asBytes(aRequest.body)));
}

net::HttpResponse execute(const net::HttpRequest& aRequest,
                          CommonFaults& aFaults,
                          Executions& aExecutions,
                          int64_t aWorkMs)
{
  aFaults.delay();
  if (aFaults.inOutage()) {
    return errorResponse(503, "unavailable", "outage", 1000);
  }
  std::string key = executionKey(aRequest);
  Json::Value body;
  body["execution"] = Json::UInt64(aExecutions.record(key));
  body["key"] = key;
  body["method"] = aRequest.method;
  body["path"] = aRequest.path;
  body["echo"] = aRequest.body;
  std::this_thread::sleep_for(base::Milliseconds(aWorkMs));
  return aFaults.takeLostAnswer() ? lostResponse() : jsonResponse(body);
}

net::HttpResponse setFault(const net::HttpRequest& aRequest, CommonFaults& aFaults)
{
  auto body = base::parseJson(aRequest.body);
  if (!body) {
    return errorResponse(400, "invalid", body.error().describe());
  }
  aFaults.apply(*body);
  return jsonResponse(Json::objectValue);
}

} // namespace

int main(int aArgc, char** aArgv)
{
  CommandLine options(kUsage, aArgc, aArgv);
  prepareSignals();
  Executions executions;
  auto workMs = int64_t(options.number("--work-ms"));
  std::vector<std::unique_ptr<Listener>> listeners;
  for (const net::Address& address : options.addresses("--listen")) {
    Listener& listener = *listeners.emplace_back(std::make_unique<Listener>());
    listener.server = net::HttpServer::Builder().address(address).maxConnections(512).build();
    listener.server->route(
      "GET", "/stats", [&](const auto&) { return jsonResponse(executions.stats()); });
    listener.server->route(
      "POST", "/fault", [&](const auto& aRequest) { return setFault(aRequest, listener.faults); });
    listener.server->route("*", "/{path...}", [&](const auto& aRequest) {
      return execute(aRequest, listener.faults, executions, workMs);
    });
    startOrExit(*listener.server);
  }
  runUntilSignal();
}
