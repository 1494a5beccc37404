#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/Error.h"
#include "base/Time.h"
#include "net/Address.h"

namespace boragepitch::tools {

/**
 * Table in the platform's store with all that loaders need to know. The operators' table holds the
 * whole configuration, and reading it at each change would occupy a VM's link for a second.
 */
inline constexpr const char* kWeightTable = "boragepitch-weights";

/** A declared version, as recorded by an entry. */
struct DeclaredRow
{
  std::string model;
  uint64_t version = 0;
  base::Milliseconds declaredAt{ 0 }; ///< Clock of the store when the declaration was first seen.
};

std::string declaredKey(std::string_view aModel, uint64_t aVersion);
/** First key, and the end, of the range that holds the records of all versions of a model. */
std::pair<std::string, std::string> declaredRange(std::string_view aModel);
std::string writeDeclaredTime(base::Milliseconds aAt);
/** Empty for a row of another kind or one that cannot be parsed. */
std::optional<DeclaredRow> readDeclaredRow(std::string_view aKey, std::string_view aValue);

/** What loaders need to know about their engines' service. */
struct WeightSetup
{
  std::string model;
  net::Address origin;
  std::string originZone;
  bool mayMoveStreams = false; ///< Streams may be interrupted and resumed at another endpoint.
};

std::string setupKey(std::string_view aService);
std::string writeWeightSetup(const WeightSetup& aSetup);
base::Result<WeightSetup> readWeightSetup(std::string_view aText);

/** Key of a manifest; the value is its canonical text. Stored for loaders that start while the
 * origin is unreachable or has no free connection. */
std::string manifestKey(std::string_view aModel, std::string_view aVersion);
bool isManifestKey(std::string_view aKey);

} // namespace boragepitch::tools
