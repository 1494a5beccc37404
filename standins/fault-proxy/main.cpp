#include <memory>
#include <vector>

#include "base/Json.h"
#include "common/Program.h"
#include "fault-proxy/Relay.h"

using namespace boragepitch;
using namespace boragepitch::standin;

namespace {

const char kUsage[] = R"(fault-proxy: TCP proxy that injects delay, cuts, silence and rate limits.

Usage: fault-proxy --admin ADDRESS (--listen ADDRESS --target ADDRESS)...

Options:
  --admin ADDRESS    IP number and port of POST /fault and GET /stats.
  --listen ADDRESS   IP number and port to accept connections on; may be repeated.
  --target ADDRESS   Where the connections of the --listen in the same place go.
  -h --help          Show this text.
)";

using Links = std::vector<std::shared_ptr<Link>>;

/** Applies the fault to the link whose listening address is named, or to all. */
net::HttpResponse setFault(const net::HttpRequest& aRequest, const Links& aLinks)
{
  auto body = base::parseJson(aRequest.body);
  if (!body || !body->isObject()) {
    return errorResponse(400, "invalid", "the body must be a JSON object");
  }
  std::string listen = base::stringOr(*body, "listen");
  bool found = listen.empty();
  for (const auto& link : aLinks) {
    if (listen.empty() || link->listen().toString() == listen) {
      link->apply(*body);
      found = true;
    }
  }
  return found ? jsonResponse(Json::objectValue)
               : errorResponse(404, "notFound", "no link listens on " + listen);
}

net::HttpResponse stats(const Links& aLinks)
{
  Json::Value body;
  body["links"] = Json::arrayValue;
  for (const auto& link : aLinks) {
    body["links"].append(link->stats());
  }
  return jsonResponse(body);
}

} // namespace

int main(int aArgc, char** aArgv)
{
  CommandLine options(kUsage, aArgc, aArgv);
  prepareSignals();
  auto listens = options.addresses("--listen");
  auto targets = options.addresses("--target");
  if (listens.size() != targets.size()) {
    exitWithError("give one --target for each --listen");
  }
  Links links;
  for (size_t i = 0; i < listens.size(); ++i) {
    links.push_back(std::make_shared<Link>(listens[i], targets[i]));
    if (auto started = startRelay(links.back()); !started) {
      exitWithError(started.error().describe());
    }
  }
  auto admin = net::HttpServer::Builder().address(options.address("--admin")).build();
  admin->route("POST", "/fault", [&](const auto& aRequest) { return setFault(aRequest, links); });
  admin->route("GET", "/stats", [&](const auto&) { return stats(links); });
  startOrExit(*admin);
  runUntilSignal();
}
