#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "weights/ChunkSelection.h"

namespace boragepitch::weights {

std::unique_ptr<ChunkSelection> makeOriginSelection();
std::unique_ptr<ChunkSelection> makeChainSelection();
std::unique_ptr<ChunkSelection> makeTreesSelection();
std::unique_ptr<ChunkSelection> makeSwarmSelection();

/** Hash of an id; combined with a key by combineHashes(). */
uint64_t idHash(std::string_view aId);
/** Hash of two numbers. */
uint64_t combineHashes(uint64_t aLeft, uint64_t aRight);

const PeerView* findPeer(const std::vector<PeerView>& aPeers, const std::string& aId);

/** True when the peer has made no progress for the importer timeout or is avoided. */
bool isStalled(const PeerView& aPeer, const SelectionInput& aInput);

/** True when this VM neither holds nor has requested the chunk. */
inline bool isOpen(const SelectionInput& aInput, uint32_t aChunk)
{
  return !aInput.own.test(aChunk) && !aInput.inFlight.test(aChunk);
}

/**
 * Lowest open chunk that aFilter accepts, from the first peer of aLineage (nearest first) that
 * holds such a chunk. Empty while a nearer peer makes progress or is only temporarily unusable; the
 * origin when all peers have stalled.
 */
std::optional<Choice> chooseFromLineage(const SelectionInput& aInput,
                                        const std::vector<std::string>& aLineage,
                                        const std::function<bool(uint32_t)>& aFilter);

/** Members of a region; empty when there are none. */
const std::vector<std::string>& membersOf(const Members& aMembers, const std::string& aRegion);

/** Regions with members: the origin's first, the others in rendezvous order for aKey. */
std::vector<std::string> regionOrder(const LocalVm& aLocalVm,
                                     const Members& aMembers,
                                     uint64_t aKey);

void sortUnique(std::vector<std::string>& aIds, const std::string& aWithout);

} // namespace boragepitch::weights
