#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "weights/PieceSelection.h"

namespace boragepitch::weights {

std::unique_ptr<PieceSelection> makeOriginSelection();
std::unique_ptr<PieceSelection> makeChainSelection();
std::unique_ptr<PieceSelection> makeTreesSelection();
std::unique_ptr<PieceSelection> makeSwarmSelection();

/** Hash of an id; combined with a key by mixed(). */
uint64_t idHash(std::string_view aId);
/** Well-spread value of two numbers. */
uint64_t mixed(uint64_t aLeft, uint64_t aRight);

const PeerView* findPeer(const std::vector<PeerView>& aPeers, const std::string& aId);

/** No progress of the peer for the importer timeout, or the peer is avoided. */
bool isStalled(const PeerView& aPeer, const SelectionInput& aInput);

/** True when the chunk is missing here and not asked for. */
inline bool isOpen(const SelectionInput& aInput, uint32_t aChunk)
{
  return !aInput.own.test(aChunk) && !aInput.inFlight.test(aChunk);
}

/**
 * Lowest open chunk of those that aFilter accepts, from the nearest of aLineage that can deliver.
 * A nearer peer that makes progress is waited for; when none is left the origin is asked.
 */
std::optional<Choice> chooseFromLineage(const SelectionInput& aInput,
                                        const std::vector<std::string>& aLineage,
                                        const std::function<bool(uint32_t)>& aFilter);

/** Members of a region; empty when there are none. */
const std::vector<std::string>& membersOf(const Members& aMembers, const std::string& aRegion);

/** Regions with members: the origin's first, the others in the order of aKey. */
std::vector<std::string> regionOrder(const Place& aPlace, const Members& aMembers, uint64_t aKey);

void sortUnique(std::vector<std::string>& aIds, const std::string& aWithout);

} // namespace boragepitch::weights
