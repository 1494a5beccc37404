#include <deque>
#include <mutex>

#include "base/Json.h"
#include "common/Program.h"

using namespace boragepitch;
using namespace boragepitch::standin;

namespace {

const char kUsage[] = R"(standin-vms: lagging list of live and leaving VMs.

Usage: standin-vms --listen ADDRESS [options]

Options:
  --listen ADDRESS   IP number and port to listen on.
  --lag-ms MS        Time until a list put here is visible [default: 0].
  -h --help          Show this text.
)";

/** VM lists that are not yet superseded, each with the time from which it is served. */
class VmHistory
{
public:
  explicit VmHistory(int64_t aLagMs)
    : mLagMs(aLagMs)
  {
    mLists.push_back({ 0, Json::arrayValue });
  }

  void put(const Json::Value& aVms)
  {
    std::lock_guard lock(mMutex);
    mLists.push_back({ nowMs() + mLagMs, aVms });
  }

  Json::Value visible()
  {
    std::lock_guard lock(mMutex);
    while (mLists.size() > 1 && mLists[1].first <= nowMs()) {
      mLists.pop_front();
    }
    return mLists.front().second;
  }

  void setLag(int64_t aLagMs)
  {
    std::lock_guard lock(mMutex);
    mLagMs = aLagMs;
  }

private:
  std::mutex mMutex;
  int64_t mLagMs;
  std::deque<std::pair<int64_t, Json::Value>> mLists;
};

} // namespace

int main(int aArgc, char** aArgv)
{
  CommandLine options(kUsage, aArgc, aArgv);
  prepareSignals();
  auto server =
    net::HttpServer::Builder().address(options.address("--listen")).maxConnections(1024).build();
  VmHistory history(int64_t(options.number("--lag-ms")));
  CommonFaults faults;
  server->route("GET", "/vms", [&](const net::HttpRequest&) {
    faults.delay();
    if (faults.inOutage()) {
      return errorResponse(503, "unavailable", "outage", 1000);
    }
    Json::Value body;
    body["vms"] = history.visible();
    return jsonResponse(body);
  });
  server->route("PUT", "/vms", [&](const net::HttpRequest& aRequest) {
    auto body = base::parseJson(aRequest.body);
    if (!body || !body->isObject() || !(*body)["vms"].isArray()) {
      return errorResponse(400, "invalid", "the body must be {\"vms\":[...]}");
    }
    history.put((*body)["vms"]);
    return jsonResponse(Json::objectValue);
  });
  server->route("POST", "/fault", [&](const net::HttpRequest& aRequest) {
    auto body = base::parseJson(aRequest.body);
    if (!body) {
      return errorResponse(400, "invalid", body.error().describe());
    }
    faults.apply(*body);
    if (body->isMember("lagMs")) {
      history.setLag(base::intOr(*body, "lagMs", 0));
    }
    return jsonResponse(Json::objectValue);
  });
  startOrExit(*server);
  runUntilSignal();
}
