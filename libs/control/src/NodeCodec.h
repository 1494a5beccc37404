#pragma once

#include <cstdint>
#include <string>

#include <json/value.h>

#include "base/Error.h"
#include "control/NodeState.h"

namespace boragepitch::control {

/** Largest accepted incarnation and sequence, so that a refutation can always use a higher one. */
inline constexpr uint64_t kMaxCounter = uint64_t(1) << 52;

/** Version of a node record and the liveness claimed for its process. */
struct RecordHead
{
  std::string id;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  Liveness liveness = Liveness::Alive;
};

RecordHead headOf(const NodeEntry& aEntry);

/** Encodes as compact JSON; empty members are left out. */
Json::Value encodeNode(const NodeState& aState);
/** Rejects records that are malformed or exceed the size limits. */
base::Result<NodeState> decodeNode(const Json::Value& aValue);

/** Encodes as [id, incarnation, sequence, liveness]. */
Json::Value encodeHead(const RecordHead& aHead);
base::Result<RecordHead> decodeHead(const Json::Value& aValue);

} // namespace boragepitch::control
