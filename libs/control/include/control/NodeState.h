#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "net/Address.h"

namespace boragepitch::control {

enum class NodeKind
{
  Entry,
  Agent,
};

enum class Phase
{
  Starting,
  Ready,
  Leaving,
};

/** A model version that the engine has activated. */
struct ServedModel
{
  std::string model;
  std::string version;
  std::string manifest;

  auto operator<=>(const ServedModel&) const = default;
};

/** A request that was in flight when an engine crashed. */
struct Suspect
{
  std::string fingerprint;
  std::string crashId;

  auto operator<=>(const Suspect&) const = default;
};

/** Record that a process publishes about itself. The highest (incarnation, sequence) is current. */
struct NodeState
{
  std::string id;
  uint64_t incarnation = 0; ///< Start time of the process, wall-clock milliseconds.
  uint64_t sequence = 0;    ///< Increases with each publish.
  NodeKind kind = NodeKind::Agent;
  std::string zone;
  std::string region;
  net::Address controlAddress;
  net::Address dataAddress;
  net::Address weightsAddress;
  Phase phase = Phase::Starting;
  std::string endpoint;              ///< Name of the endpoint on the same VM; empty for an entry.
  std::vector<std::string> held;     ///< Ids of manifests that are complete on this VM.
  std::vector<std::string> fetching; ///< Ids of manifests being fetched.
  /** Ids of manifests whose bytes at the origin no longer match the manifest. */
  std::vector<std::string> originChanged;
  std::vector<ServedModel> serving;
  std::string instance; ///< Boot id of the engine.
  bool cold = true;
  int coldLimit = 1;
  int warmLimit = 1;
  std::vector<Suspect> suspects;
};

/** True if aLeft is newer than aRight. Both must have the same id. */
inline bool supersedes(const NodeState& aLeft, const NodeState& aRight)
{
  return std::pair(aLeft.incarnation, aLeft.sequence) >
         std::pair(aRight.incarnation, aRight.sequence);
}

enum class Liveness
{
  Alive,
  Suspect,
  Dead,
};

struct NodeEntry
{
  NodeState state;
  Liveness liveness = Liveness::Alive;
};

/** All known processes by id. */
using NodeTable = std::map<std::string, NodeEntry>;

} // namespace boragepitch::control
