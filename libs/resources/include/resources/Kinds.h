#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace boragepitch::resources {

/** An immutable version of a model or adapter. */
struct ModelVersion
{
  std::string model;
  std::string version;
  std::string manifest;  ///< Manifest id: 64 lower-case hexadecimal digits.
  uint64_t size = 0;     ///< Bytes.
  std::string origin;    ///< "name/version" at the weight store.
  std::string adapterOf; ///< Base model of an adapter; empty for a base model.
};

/** Which version of a model is served where. */
struct Serving
{
  std::string model;
  std::string version;
  std::vector<std::string> zones;     ///< Empty means every availability zone.
  std::vector<std::string> endpoints; ///< Name prefixes; empty means every model endpoint.
  int minAvailable = 50; ///< Percentage of endpoints kept serving during a rollout, 0 to 100.
  int urgency = 5;       ///< Priority of the rollout, 0 to 9; 9 goes first.
  std::vector<std::string> adapters; ///< Names of ModelVersion resources.
};

struct Zone
{
  std::string region;
  bool inService = true;
};

struct Vm
{
  std::string zone;
  bool inService = true;
};

enum class EndpointType
{
  Model,
  Service,
};

enum class Role
{
  General,
  Prefill,
  Decode,
  Drafter,
};

struct Endpoint
{
  std::string vm;
  EndpointType type = EndpointType::Model;
  std::string service; ///< Name of a Service when type is Service.
  Role role = Role::General;
  bool honoursFencing = true;
  int coldLimit = 1;  ///< Concurrent requests while cold, 1 to 1024.
  int warmLimit = 16; ///< Concurrent requests while warm, 1 to 1024.
};

struct ServiceCall
{
  std::string method;
  std::string path;
  bool repeatable = false;
};

/** A service other than a model; calls that are not listed are not repeatable. */
struct Service
{
  std::vector<ServiceCall> calls;
};

struct Workspace
{
  int worth = 1; ///< Value of a request answered in time, 1 to 1000.
  int share = 1; ///< Weight in the fair share of capacity under contention, 1 to 1000.
};

/** Written by the rollout planner only: the endpoints that may switch to a version now. */
struct Rollout
{
  std::string model;
  std::string version;
  uint64_t fencing = 0; ///< Fencing token of the planner lease under which it was written.
  std::vector<std::string> allowed;
};

using Spec = std::variant<ModelVersion, Serving, Zone, Vm, Endpoint, Service, Workspace, Rollout>;

} // namespace boragepitch::resources
