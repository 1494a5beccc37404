#pragma once

#include <string>

#include "control/NodeState.h"
#include "weights/Distributor.h"

namespace boragepitch::weights {

/**
 * Live VMs that want or hold a manifest, by region. Which VMs want it follows from the declaration
 * and not from what they publish, so that all VMs agree on the importers as soon as they know the
 * declaration. This VM is always included.
 */
Members membersFor(const control::NodeTable& aNodes,
                   const TransferRequest& aWanted,
                   const std::string& aSelf,
                   const std::string& aRegion);

/** VMs that may serve a manifest: those that publish it as held or being fetched. */
std::vector<std::string> holdersOf(const control::NodeTable& aNodes,
                                   const ManifestId& aId,
                                   const std::string& aSelf);

/** Live agents of a region that have a chunk server. */
size_t agentsIn(const control::NodeTable& aNodes, const std::string& aRegion);

} // namespace boragepitch::weights
