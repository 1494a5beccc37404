#include <algorithm>
#include <limits>
#include <tuple>

#include "Selection.h"

namespace boragepitch::weights {

namespace {

/** Importer timeouts without progress after which an importer reads from the origin although its
 * region should import from another region. */
constexpr int kOriginFallbackTimeouts = 4;
/** Peers in each other region that a VM polls when it is not an importer. */
constexpr size_t kRemotePeersOfNonImporter = 1;
/** Transfers within its region that a VM begins while it imports. */
constexpr uint32_t kLocalTransfersOfImporter = 2;
/** Importers of a region that poll each other. Where there are more, each polls those whose chunks
 * it takes over first. */
constexpr size_t kMaxPolledImporters = 8;
/** All members of a region are polled when they exceed the neighbour limit by at most this number.
 */
constexpr size_t kNeighbourSlack = 4;

std::vector<std::string> importersOf(const LocalVm& aLocalVm,
                                     const Members& aMembers,
                                     const std::string& aRegion)
{
  auto ids = rendezvousOrder(membersOf(aMembers, aRegion), aLocalVm.manifestSeed);
  ids.resize(std::min(ids.size(), aLocalVm.importersPerRegion));
  return ids;
}

uint64_t chunkKey(const LocalVm& aLocalVm, uint32_t aChunk)
{
  return combineHashes(aLocalVm.manifestSeed, aChunk);
}

/** Place of an importer in the order in which the importers of a region import a chunk. The chunks
 * are dealt out in turn, so that all read equally many; those of a VM that fails are taken over by
 * different ones.
 * @param aIndex in the order of importersOf(). */
std::tuple<bool, uint64_t, size_t> placeOf(size_t aIndex,
                                           uint64_t aHash,
                                           size_t aImporters,
                                           const LocalVm& aLocalVm,
                                           uint32_t aChunk)
{
  return { aIndex != aChunk % aImporters,
           combineHashes(aHash, chunkKey(aLocalVm, aChunk)),
           aIndex };
}

/** State of one decision. */
class SwarmDecision
{
public:
  SwarmDecision(const SelectionInput& aInput, base::Rng& aRng)
    : mInput(aInput)
    , mRng(aRng)
    , mStarvation(aInput.now - aInput.lastProgress)
  {
    const LocalVm& localVm = aInput.localVm;
    auto ids = rendezvousOrder(membersOf(aInput.members, localVm.region), localVm.manifestSeed);
    mImporterCount = std::min(ids.size(), localVm.importersPerRegion);
    for (size_t i = 0; i < ids.size(); ++i) {
      mRanking.push_back({ idHash(ids[i]), ids[i], findPeer(aInput.peers, ids[i]) });
      if (ids[i] == localVm.id) {
        mSelf = i;
      }
    }
    for (const PeerView& peer : aInput.peers) {
      (peer.region == localVm.region ? mLocalPeers : mRemotePeers).push_back(&peer);
    }
  }

  std::optional<Choice> decide()
  {
    scan();
    if (auto import = chooseImport()) {
      return import;
    }
    // All others wait for the chunks that this VM imports, so most of its downlink is for these.
    if (isImporting() && inFlight(mLocalPeers) >= kLocalTransfersOfImporter) {
      return std::nullopt;
    }
    return chooseLocal();
  }

private:
  struct Ranked
  {
    uint64_t hash;
    std::string id;
    const PeerView* view;
  };

  /** Splits the open chunks into those that a local peer holds and those that must be imported. */
  void scan()
  {
    for (uint32_t chunk = mInput.own.firstMissing(); chunk < mInput.own.size(); ++chunk) {
      if (!isOpen(mInput, chunk)) {
        continue;
      }
      uint32_t holders = 0;
      bool usable = false;
      for (const PeerView* peer : mLocalPeers) {
        if (peer->trusted && peer->have.test(chunk)) {
          ++holders;
          usable = usable || peer->usable;
        }
      }
      if (holders == 0) {
        mMissingInRegion.push_back(chunk);
      } else if (usable) {
        considerRarest(chunk, holders);
      }
    }
  }

  void considerRarest(uint32_t aChunk, uint32_t aHolders)
  {
    if (aHolders > mRarestHolders) {
      return;
    }
    mRarestTies = aHolders < mRarestHolders ? 1 : mRarestTies + 1;
    mRarestHolders = aHolders;
    // Reservoir sampling: each of the equally rare chunks is chosen with the same probability.
    if (base::uniformBelow(mRng, mRarestTies) == 0) {
      mRarest = aChunk;
    }
  }

  bool isImporting() const
  {
    return mSelf < mImporterCount && (mInput.originBusy || inFlight(mRemotePeers) > 0);
  }

  static uint32_t inFlight(const std::vector<const PeerView*>& aPeers)
  {
    uint32_t count = 0;
    for (const PeerView* peer : aPeers) {
      count += peer->inFlight;
    }
    return count;
  }

  std::optional<Choice> chooseImport()
  {
    if (!mInput.mayImport || mSelf >= mRanking.size() || mMissingInRegion.empty()) {
      return std::nullopt;
    }
    std::shuffle(mMissingInRegion.begin(), mMissingInRegion.end(), mRng);
    std::optional<Choice> best;
    size_t bestRank = std::numeric_limits<size_t>::max();
    for (uint32_t chunk : mMissingInRegion) {
      size_t rank = rankFor(chunk);
      if (rank >= bestRank || !mayImport(chunk, rank)) {
        continue;
      }
      if (auto choice = importSource(chunk)) {
        best = choice;
        bestRank = rank;
      }
      if (bestRank == 0) {
        break;
      }
    }
    return best;
  }

  /** Whether one importer precedes another for a chunk. */
  bool precedes(size_t aLeft, size_t aRight, uint32_t aChunk) const
  {
    return placeOf(aLeft, mRanking[aLeft].hash, mImporterCount, mInput.localVm, aChunk) <
           placeOf(aRight, mRanking[aRight].hash, mImporterCount, mInput.localVm, aChunk);
  }

  uint64_t keyOf(uint32_t aChunk) const { return chunkKey(mInput.localVm, aChunk); }

  /** Number of VMs that precede this one as the importer of a chunk. */
  size_t rankFor(uint32_t aChunk) const
  {
    if (mSelf >= mImporterCount) {
      return mSelf;
    }
    size_t rank = 0;
    for (size_t i = 0; i < mImporterCount; ++i) {
      if (i != mSelf && precedes(i, mSelf, aChunk)) {
        ++rank;
      }
    }
    return rank;
  }

  bool mayImport(uint32_t aChunk, size_t aRank) const
  {
    if (aRank == 0) {
      return true;
    }
    if (mSelf >= mImporterCount) {
      return mayTakeOver();
    }
    for (size_t i = 0; i < mImporterCount; ++i) {
      if (i != mSelf && precedes(i, mSelf, aChunk) && !hasStalled(mRanking[i])) {
        return false;
      }
    }
    return true;
  }

  bool hasStalled(const Ranked& aMember) const
  {
    if (aMember.view == nullptr) {
      return mStarvation >= mInput.localVm.importerTimeout;
    }
    return isStalled(*aMember.view, mInput);
  }

  /**
   * VMs outside the importer group take over one after the other at doubling intervals, so that a
   * long outage of the origin does not make the whole region send requests to it.
   */
  bool mayTakeOver() const
  {
    size_t doublings = std::min<size_t>(mSelf - mImporterCount + 1, 20);
    return mStarvation >= mInput.localVm.importerTimeout * (uint64_t{ 1 } << doublings);
  }

  std::optional<Choice> importSource(uint32_t aChunk)
  {
    auto regions = regionOrder(mInput.localVm, mInput.members, keyOf(aChunk));
    auto ownRegion = std::find(regions.begin(), regions.end(), mInput.localVm.region);
    bool readsFromOrigin = ownRegion == regions.begin();
    bool useFallback = mStarvation >= mInput.localVm.importerTimeout * kOriginFallbackTimeouts;
    if ((readsFromOrigin || useFallback) && mInput.originUsable) {
      return Choice{ aChunk, "" };
    }
    const PeerView* holder =
      leastLoaded(mRemotePeers, aChunk, [](const PeerView& /*aPeer*/) { return true; });
    if (holder == nullptr || (readsFromOrigin && !mInput.originFailed && !useFallback)) {
      return std::nullopt;
    }
    return Choice{ aChunk, holder->id };
  }

  std::optional<Choice> chooseLocal()
  {
    if (mRarestTies == 0) {
      return std::nullopt;
    }
    // The rarest chunk of the least loaded peers: few hold the rarest chunk of all, and their
    // uplinks would be overloaded while others idle.
    std::optional<Choice> best;
    std::tuple<uint32_t, uint32_t, uint64_t> bestRank;
    for (uint32_t chunk = mInput.own.firstMissing(); chunk < mInput.own.size(); ++chunk) {
      if (!isOpen(mInput, chunk)) {
        continue;
      }
      uint32_t holders = 0;
      for (const PeerView* peer : mLocalPeers) {
        holders += peer->trusted && peer->have.test(chunk) ? 1 : 0;
      }
      for (const PeerView* peer : mLocalPeers) {
        if (!peer->usable || !peer->trusted || !peer->have.test(chunk)) {
          continue;
        }
        std::tuple rank(loadOf(*peer) / 2, holders, base::uniformBelow(mRng, 1 << 16));
        if (!best || rank < bestRank) {
          best = Choice{ chunk, peer->id };
          bestRank = rank;
        }
      }
    }
    return best;
  }

  static uint32_t loadOf(const PeerView& aPeer) { return aPeer.load + 2 * aPeer.inFlight; }

  template<typename Filter>
  const PeerView* leastLoaded(const std::vector<const PeerView*>& aPeers,
                              uint32_t aChunk,
                              const Filter& aFilter)
  {
    const PeerView* best = nullptr;
    uint32_t bestLoad = 0;
    uint32_t ties = 0;
    for (const PeerView* peer : aPeers) {
      if (!peer->usable || !peer->trusted || !peer->have.test(aChunk) || !aFilter(*peer)) {
        continue;
      }
      uint32_t load = loadOf(*peer);
      if (best == nullptr || load < bestLoad) {
        best = peer;
        bestLoad = load;
        ties = 1;
      } else if (load == bestLoad && base::uniformBelow(mRng, ++ties) == 0) {
        best = peer;
      }
    }
    return best;
  }

  const SelectionInput& mInput;
  base::Rng& mRng;
  base::Duration mStarvation;
  std::vector<Ranked> mRanking;
  size_t mImporterCount = 0;
  size_t mSelf = std::numeric_limits<size_t>::max();
  std::vector<const PeerView*> mLocalPeers;
  std::vector<const PeerView*> mRemotePeers;
  std::vector<uint32_t> mMissingInRegion;
  uint32_t mRarest = 0;
  uint32_t mRarestHolders = std::numeric_limits<uint32_t>::max();
  uint32_t mRarestTies = 0;
};

/**
 * Rarest chunk first from the least loaded holder in the region. Chunks that no polled peer of the
 * region holds are imported only by the designated importers. The importers of a region are a small
 * group, so that the origin sends few chunks at a time and the first ones spread while the others
 * are still being read.
 */
class SwarmSelection final : public ChunkSelection
{
public:
  std::optional<Choice> next(const SelectionInput& aInput, base::Rng& aRng) const override
  {
    return SwarmDecision(aInput, aRng).decide();
  }

  std::vector<std::string> neighbours(const LocalVm& aLocalVm,
                                      const Members& aMembers,
                                      uint32_t aChunkCount) const override
  {
    uint64_t ownKey = idHash(aLocalVm.id);
    auto ids = membersOf(aMembers, aLocalVm.region);
    if (ids.size() > aLocalVm.neighbours + kNeighbourSlack) {
      ids = rendezvousOrder(ids, ownKey);
      ids.resize(aLocalVm.neighbours);
    }
    auto importers = importersOf(aLocalVm, aMembers, aLocalVm.region);
    auto self = std::find(importers.begin(), importers.end(), aLocalVm.id);
    bool imports = self != importers.end();
    if (imports) {
      auto polled = importers.size() <= kMaxPolledImporters
                      ? importers
                      : replacedBy(aLocalVm, importers, aChunkCount);
      ids.insert(ids.end(), polled.begin(), polled.end());
    }
    for (const auto& [region, members] : aMembers) {
      if (region == aLocalVm.region) {
        continue;
      }
      auto remotePeers = imports ? designatedFor(static_cast<size_t>(self - importers.begin()),
                                                 importers.size(),
                                                 importersOf(aLocalVm, aMembers, region),
                                                 aChunkCount)
                                 : rendezvousOrder(members, ownKey);
      size_t wanted = imports ? aLocalVm.remoteNeighbours : kRemotePeersOfNonImporter;
      remotePeers.resize(std::min(remotePeers.size(), wanted));
      ids.insert(ids.end(), remotePeers.begin(), remotePeers.end());
    }
    sortUnique(ids, aLocalVm.id);
    return ids;
  }

private:
  /** The importers of which this VM is the first to take over a chunk. */
  static std::vector<std::string> replacedBy(const LocalVm& aLocalVm,
                                             const std::vector<std::string>& aImporters,
                                             uint32_t aChunkCount)
  {
    std::vector<uint64_t> hashes;
    for (const std::string& id : aImporters) {
      hashes.push_back(idHash(id));
    }
    std::vector<std::string> ids;
    for (uint32_t chunk = 0; chunk < aChunkCount; ++chunk) {
      size_t owner = chunk % aImporters.size();
      size_t next = owner;
      for (size_t i = 0; i < aImporters.size(); ++i) {
        bool isEarlier =
          next == owner || placeOf(i, hashes[i], aImporters.size(), aLocalVm, chunk) <
                             placeOf(next, hashes[next], aImporters.size(), aLocalVm, chunk);
        next = i != owner && isEarlier ? i : next;
      }
      if (aImporters[next] == aLocalVm.id) {
        ids.push_back(aImporters[owner]);
      }
    }
    return ids;
  }

  /** The importers of another region that import the same chunks as one of this region, those with
   * most of them first, then the others. */
  static std::vector<std::string> designatedFor(size_t aSelf,
                                                size_t aImporters,
                                                const std::vector<std::string>& aOthers,
                                                uint32_t aChunkCount)
  {
    std::vector<std::pair<int, size_t>> shared; // Negated number of chunks, index.
    for (size_t i = 0; i < aOthers.size(); ++i) {
      shared.emplace_back(0, i);
    }
    for (size_t chunk = aSelf; chunk < aChunkCount && !aOthers.empty(); chunk += aImporters) {
      --shared[chunk % aOthers.size()].first;
    }
    std::sort(shared.begin(), shared.end());
    std::vector<std::string> ids;
    for (const auto& [count, index] : shared) {
      ids.push_back(aOthers[index]);
    }
    return ids;
  }
};

} // namespace

std::unique_ptr<ChunkSelection> makeSwarmSelection()
{
  return std::make_unique<SwarmSelection>();
}

} // namespace boragepitch::weights
