#include "Selection.h"

#include <algorithm>

#include "base/Digest.h"

namespace boragepitch::weights {

std::string_view toString(Scheme aScheme)
{
  switch (aScheme) {
    case Scheme::Origin:
      return "origin";
    case Scheme::Chain:
      return "chain";
    case Scheme::Trees:
      return "trees";
    case Scheme::Swarm:
      return "swarm";
  }
  return "swarm";
}

base::Result<Scheme> schemeFromText(std::string_view aText)
{
  for (Scheme scheme : { Scheme::Origin, Scheme::Chain, Scheme::Trees, Scheme::Swarm }) {
    if (toString(scheme) == aText) {
      return scheme;
    }
  }
  return base::fail(base::ErrorKind::Invalid,
                    "scheme",
                    "unknown scheme '" + std::string(aText) + "'",
                    "use origin, chain, trees or swarm");
}

std::unique_ptr<ChunkSelection> makeChunkSelection(Scheme aScheme)
{
  switch (aScheme) {
    case Scheme::Origin:
      return makeOriginSelection();
    case Scheme::Chain:
      return makeChainSelection();
    case Scheme::Trees:
      return makeTreesSelection();
    case Scheme::Swarm:
      break;
  }
  return makeSwarmSelection();
}

uint64_t idHash(std::string_view aId)
{
  return base::fastHash(base::asBytes(aId));
}

uint64_t combineHashes(uint64_t aLeft, uint64_t aRight)
{
  // Finalizer of SplitMix64.
  uint64_t value = aLeft + 0x9e3779b97f4a7c15 * (aRight + 1);
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

std::vector<std::string> rendezvousOrder(const std::vector<std::string>& aIds, uint64_t aKey)
{
  std::vector<std::pair<uint64_t, const std::string*>> ranked;
  ranked.reserve(aIds.size());
  for (const std::string& id : aIds) {
    ranked.emplace_back(combineHashes(idHash(id), aKey), &id);
  }
  std::sort(ranked.begin(), ranked.end(), [](const auto& aLeft, const auto& aRight) {
    return std::tie(aLeft.first, *aLeft.second) < std::tie(aRight.first, *aRight.second);
  });
  std::vector<std::string> ids;
  ids.reserve(ranked.size());
  for (const auto& [hash, id] : ranked) {
    ids.push_back(*id);
  }
  return ids;
}

const PeerView* findPeer(const std::vector<PeerView>& aPeers, const std::string& aId)
{
  auto found = std::find_if(
    aPeers.begin(), aPeers.end(), [&](const PeerView& aPeer) { return aPeer.id == aId; });
  return found == aPeers.end() ? nullptr : &*found;
}

bool isStalled(const PeerView& aPeer, const SelectionInput& aInput)
{
  if (!aPeer.trusted) {
    return true;
  }
  auto since = std::max(aPeer.lastProgress, aInput.started);
  return aInput.now - since >= aInput.localVm.importerTimeout;
}

namespace {

std::optional<uint32_t> firstOpen(const SelectionInput& aInput,
                                  const PeerView* aPeer,
                                  const std::function<bool(uint32_t)>& aFilter)
{
  for (uint32_t chunk = aInput.own.firstMissing(); chunk < aInput.own.size(); ++chunk) {
    if (isOpen(aInput, chunk) && aFilter(chunk) && (!aPeer || aPeer->have.test(chunk))) {
      return chunk;
    }
  }
  return std::nullopt;
}

bool isStarving(const SelectionInput& aInput)
{
  return aInput.now - aInput.lastProgress >= aInput.localVm.importerTimeout;
}

} // namespace

std::optional<Choice> chooseFromLineage(const SelectionInput& aInput,
                                        const std::vector<std::string>& aLineage,
                                        const std::function<bool(uint32_t)>& aFilter)
{
  for (const std::string& id : aLineage) {
    const PeerView* peer = findPeer(aInput.peers, id);
    if (peer == nullptr) {
      if (!isStarving(aInput)) {
        return std::nullopt;
      }
      continue;
    }
    if (peer->trusted && firstOpen(aInput, peer, aFilter)) {
      if (!peer->usable) {
        return std::nullopt;
      }
      return Choice{ *firstOpen(aInput, peer, aFilter), peer->id };
    }
    if (!isStalled(*peer, aInput)) {
      return std::nullopt;
    }
  }
  auto chunk = firstOpen(aInput, nullptr, aFilter);
  if (!chunk || !aInput.originUsable) {
    return std::nullopt;
  }
  return Choice{ *chunk, "" };
}

const std::vector<std::string>& membersOf(const Members& aMembers, const std::string& aRegion)
{
  static const std::vector<std::string> kNone;
  auto found = aMembers.find(aRegion);
  return found == aMembers.end() ? kNone : found->second;
}

std::vector<std::string> regionOrder(const LocalVm& aLocalVm,
                                     const Members& aMembers,
                                     uint64_t aKey)
{
  std::vector<std::string> regions;
  for (const auto& [region, ids] : aMembers) {
    if (!ids.empty() && region != aLocalVm.originRegion) {
      regions.push_back(region);
    }
  }
  regions = rendezvousOrder(regions, aKey);
  if (!membersOf(aMembers, aLocalVm.originRegion).empty()) {
    regions.insert(regions.begin(), aLocalVm.originRegion);
  }
  return regions;
}

void sortUnique(std::vector<std::string>& aIds, const std::string& aWithout)
{
  std::sort(aIds.begin(), aIds.end());
  aIds.erase(std::unique(aIds.begin(), aIds.end()), aIds.end());
  std::erase(aIds, aWithout);
}

} // namespace boragepitch::weights
