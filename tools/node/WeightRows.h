#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/Error.h"
#include "base/Time.h"
#include "net/Address.h"

namespace boragepitch::tools {

/**
 * Table of the system's own with all that a loader needs to know. The operators' table holds the
 * whole configuration, which would take a VM's link for a second each time it changes.
 */
inline constexpr const char* kWeightTable = "boragepitch-weights";

/** A version that an entry has seen declared. */
struct DeclaredRow
{
  std::string model;
  uint64_t version = 0;
  base::Milliseconds at{ 0 }; ///< Clock of the store when the declaration was first seen.
};

std::string declaredKey(std::string_view aModel, uint64_t aVersion);
std::string writeDeclaredTime(base::Milliseconds aAt);
/** Empty for a row of another kind or one that cannot be read. */
std::optional<DeclaredRow> readDeclaredRow(std::string_view aKey, std::string_view aValue);

/** What loaders need to know of the service of their engines. */
struct WeightSetup
{
  std::string model;
  net::Address origin;
  std::string originZone;
  bool mayMoveStreams = false; ///< Streams may be broken off and go on at another endpoint.
};

std::string setupKey(std::string_view aService);
std::string writeWeightSetup(const WeightSetup& aSetup);
base::Result<WeightSetup> readWeightSetup(std::string_view aText);

/** Key of a manifest; the value is its canonical text. Kept for loaders that start while the origin
 * is away or has no connection left. */
std::string manifestKey(std::string_view aModel, std::string_view aVersion);
bool isManifestKey(std::string_view aKey);

} // namespace boragepitch::tools
