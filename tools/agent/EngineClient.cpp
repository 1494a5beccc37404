#include "EngineClient.h"

#include "base/Json.h"

namespace boragepitch::tools {

namespace {

using namespace std::chrono_literals;

const char* orderKind(rollout::OrderKind aKind)
{
  switch (aKind) {
    case rollout::OrderKind::Load:
      return "load";
    case rollout::OrderKind::Unload:
      return "unload";
    case rollout::OrderKind::Role:
      return "role";
  }
  return "";
}

const char* roleName(resources::Role aRole)
{
  switch (aRole) {
    case resources::Role::General:
      return "general";
    case resources::Role::Prefill:
      return "prefill";
    case resources::Role::Decode:
      return "decode";
    case resources::Role::Drafter:
      return "drafter";
  }
  return "";
}

resources::Role parseRole(const std::string& aName)
{
  for (auto role :
       { resources::Role::Prefill, resources::Role::Decode, resources::Role::Drafter }) {
    if (aName == roleName(role)) {
      return role;
    }
  }
  return resources::Role::General;
}

} // namespace

EngineClient::EngineClient(net::Address aEngine)
  : mClient(std::move(aEngine), { .connectTimeout = 500ms, .readTimeout = 1000ms })
{
}

base::Result<ReportedEngine> EngineClient::readState()
{
  auto response = mClient.send({ .target = "/state", .totalTimeout = 2000ms }, 1 << 20);
  if (!response) {
    return tl::make_unexpected(response.error());
  }
  if (response->status != 200) {
    return base::fail(base::ErrorKind::Unavailable,
                      mClient.server().toString(),
                      "engine answered status " + std::to_string(response->status),
                      "check the engine");
  }
  auto json = base::parseJson(response->body);
  if (!json) {
    return tl::make_unexpected(json.error());
  }
  ReportedEngine engine;
  engine.state.instance = base::stringOr(*json, "instance");
  engine.state.cold = base::boolOr(*json, "cold", true);
  engine.state.fencing = static_cast<uint64_t>(base::intOr(*json, "fencing", 0));
  engine.state.role = parseRole(base::stringOr(*json, "role"));
  engine.coldLimit = static_cast<int>(base::intOr(*json, "coldLimit", 1));
  engine.warmLimit = static_cast<int>(base::intOr(*json, "warmLimit", 1));
  for (const Json::Value& loaded : (*json)["loaded"]) {
    engine.state.loaded.push_back({ base::stringOr(loaded, "model"),
                                    base::stringOr(loaded, "version"),
                                    base::stringOr(loaded, "manifest") });
  }
  return engine;
}

base::Status EngineClient::send(const rollout::Order& aOrder)
{
  Json::Value body;
  body["kind"] = orderKind(aOrder.kind);
  body["fencing"] = Json::UInt64{ aOrder.fencing };
  if (aOrder.kind == rollout::OrderKind::Role) {
    body["role"] = roleName(aOrder.role);
  } else {
    body["model"] = aOrder.modelVersion.model;
    body["version"] = aOrder.modelVersion.version;
    body["manifest"] = aOrder.modelVersion.manifest;
  }
  // The engine verifies the weights while loading, which takes seconds for a large model.
  auto response = mClient.send({ .method = "POST",
                                 .target = "/orders",
                                 .body = base::writeJson(body),
                                 .totalTimeout = 60000ms });
  if (!response) {
    return tl::make_unexpected(response.error());
  }
  if (response->status == 409) {
    return base::fail(base::ErrorKind::Conflict,
                      mClient.server().toString(),
                      "engine refused the order: " + response->body,
                      "take a higher epoch and read the engine's state again");
  }
  if (response->status != 200) {
    return base::fail(base::ErrorKind::Unavailable,
                      mClient.server().toString(),
                      "engine refused the order with status " + std::to_string(response->status) +
                        ": " + response->body,
                      "read the engine's state and order again");
  }
  return {};
}

} // namespace boragepitch::tools
