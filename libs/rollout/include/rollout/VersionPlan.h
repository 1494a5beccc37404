#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "base/Time.h"

namespace boragepitch::rollout {

/** A declared version of the weights that a VM does not serve yet. */
struct PendingVersion
{
  uint64_t version = 0;
  base::TimePoint requiredAt; ///< From then on requests start on this or a newer version only.
  double missingShare = 1;    ///< Share of its chunks that the VM lacks, 0 to 1.
};

/**
 * The versions that a VM should fetch, the most urgent first. Of versions that were declared
 * shortly after one another, the one that comes into force first is completed first, so that the
 * engine has valid weights at all times; what has arrived of it is not given up for a version of
 * which less has. A version is left out if it would be complete too late to serve before a newer
 * one is required, if it would come so late that the engine is without valid weights for longer
 * than without it, or if a newer one will be complete before the engine needs either.
 * @param aPending oldest first.
 * @param aCopyTime time in which the VM's link carries one copy.
 */
std::vector<uint64_t> fetchOrder(std::span<const PendingVersion> aPending,
                                 base::Duration aCopyTime,
                                 base::TimePoint aNow);

} // namespace boragepitch::rollout
