#pragma once

#include <cstdint>
#include <string>

#include <json/value.h>

#include "base/Error.h"
#include "control/NodeState.h"

namespace boragepitch::control {

/** Largest incarnation and sequence accepted, so that a refutation can always go higher. */
inline constexpr uint64_t kMaxCount = uint64_t(1) << 52;

/** The version of a record and what is said about its process. */
struct RecordHead
{
  std::string id;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  Liveness liveness = Liveness::Alive;
};

RecordHead headOf(const NodeEntry& aEntry);

/** Compact JSON: members at their defaults are left out. */
Json::Value encodeNode(const NodeState& aState);
/** Rejects records that are malformed or exceed the bounds of a message. */
base::Result<NodeState> decodeNode(const Json::Value& aValue);

/** [id, incarnation, sequence, liveness]. */
Json::Value encodeHead(const RecordHead& aHead);
base::Result<RecordHead> decodeHead(const Json::Value& aValue);

} // namespace boragepitch::control
