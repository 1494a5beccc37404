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
struct Served
{
  std::string model;
  std::string version;
  std::string manifest;

  auto operator<=>(const Served&) const = default;
};

/** A request that was in flight when an engine crashed. */
struct Suspect
{
  std::string fingerprint;
  std::string crashId;

  auto operator<=>(const Suspect&) const = default;
};

/** What one process publishes of itself. The greater (incarnation, sequence) replaces the lesser.
 */
struct NodeState
{
  std::string id;
  uint64_t incarnation = 0; ///< Start of the process, milliseconds of wall-clock time.
  uint64_t sequence = 0;    ///< Rises with each publish.
  NodeKind kind = NodeKind::Agent;
  std::string zone;
  std::string region;
  net::Address controlAddress;
  net::Address dataAddress;
  net::Address weightsAddress;
  Phase phase = Phase::Starting;
  std::string endpoint;              ///< Name of the endpoint beside it; empty for an entry.
  std::vector<std::string> held;     ///< Manifest ids that are whole on this VM.
  std::vector<std::string> fetching; ///< Manifest ids in progress.
  /** Manifest ids whose bytes at the origin differ from the manifest. */
  std::vector<std::string> originChanged;
  std::vector<Served> serving;
  std::string instance; ///< Boot id of the engine.
  bool cold = true;
  int coldLimit = 1;
  int warmLimit = 1;
  std::vector<Suspect> suspects;
};

/** True when aLeft is newer than aRight, both of one id. */
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
