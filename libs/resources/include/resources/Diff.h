#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "resources/Snapshot.h"

namespace boragepitch::resources {

enum class DifferenceType
{
  Added,
  Changed,
  Removed,
};

/** One resource that differs between two snapshots. */
struct Difference
{
  DifferenceType type = DifferenceType::Added;
  std::shared_ptr<const Resource> resource; ///< The new version; the old one when removed.
};

/** The resources that differ between aOld and aNew, ordered by kind and name. */
std::vector<Difference> differences(const Snapshot& aOld, const Snapshot& aNew);

} // namespace boragepitch::resources
