#define BOOST_TEST_MODULE weights_selection
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>

#include "../src/ChunkMemory.h"
#include "../src/Links.h"
#include "weights/ChunkSelection.h"
#include "weights/Manifest.h"

using namespace boragepitch;
using namespace boragepitch::weights;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kNow = base::TimePoint{} + 1h;

/** Owns the data that a SelectionInput refers to. */
struct Situation
{
  LocalVm localVm;
  Members members;
  Bitmap own;
  Bitmap inFlight;
  std::vector<PeerView> peers;
  bool originUsable = true;
  base::TimePoint lastProgress = kNow;

  SelectionInput input() const
  {
    return { .localVm = localVm,
             .members = members,
             .own = own,
             .inFlight = inFlight,
             .peers = peers,
             .originUsable = originUsable,
             .started = kNow - 1min,
             .lastProgress = lastProgress,
             .now = kNow };
  }
};

Bitmap randomBitmap(uint32_t aSize, base::Rng& aRng)
{
  Bitmap bitmap(aSize);
  uint32_t density = base::uniformBelow(aRng, 5U);
  for (uint32_t i = 0; i < aSize; ++i) {
    if (base::uniformBelow(aRng, 4U) < density) {
      bitmap.set(i);
    }
  }
  return bitmap;
}

Situation randomSituation(const ChunkSelection& aSelection, base::Rng& aRng)
{
  Situation situation;
  uint32_t chunks = 1 + base::uniformBelow(aRng, 100U);
  int vms = 1 + base::uniformBelow(aRng, 30);
  for (int i = 0; i < vms; ++i) {
    situation.members["r" + std::to_string(i % 3)].push_back("vm" + std::to_string(100 + i));
  }
  int self = base::uniformBelow(aRng, vms);
  situation.localVm = { .id = "vm" + std::to_string(100 + self),
                        .region = "r" + std::to_string(self % 3),
                        .originRegion = "r0",
                        .manifestSeed = aRng(),
                        .neighbours = 4,
                        .importersPerRegion = 3,
                        .importerTimeout = 3s };
  situation.own = randomBitmap(chunks, aRng);
  situation.inFlight = Bitmap(chunks);
  for (uint32_t i = 0; i < chunks; ++i) {
    if (!situation.own.test(i) && base::uniformBelow(aRng, 5) == 0) {
      situation.inFlight.set(i);
    }
  }
  for (const auto& id : aSelection.neighbours(situation.localVm, situation.members, chunks)) {
    PeerView view;
    view.id = id;
    view.region = "r" + std::to_string((std::stoi(id.substr(2)) - 100) % 3);
    view.have = base::uniformBelow(aRng, 4) == 0 ? Bitmap() : randomBitmap(chunks, aRng);
    view.lastProgress = kNow - base::Milliseconds(base::uniformBelow(aRng, 10000));
    view.usable = base::uniformBelow(aRng, 4) != 0;
    view.trusted = base::uniformBelow(aRng, 6) != 0;
    situation.peers.push_back(view);
  }
  situation.originUsable = base::uniformBelow(aRng, 2) == 0;
  situation.lastProgress = kNow - base::Milliseconds(base::uniformBelow(aRng, 30000));
  return situation;
}

std::vector<std::string> names(int aCount)
{
  std::vector<std::string> ids;
  for (int i = 0; i < aCount; ++i) {
    ids.push_back("vm" + std::to_string(1000 + i));
  }
  return ids;
}

} // namespace

// Guards against requests for a chunk outside the manifest, or one that is already held or
// requested; to a peer that is avoided, busy or has not announced the chunk; and to the origin
// while it is not usable.
RC_BOOST_PROP(choiceIsAlwaysPermitted, (uint64_t aSeed))
{
  base::Rng rng(aSeed);
  for (Scheme scheme : { Scheme::Origin, Scheme::Chain, Scheme::Trees, Scheme::Swarm }) {
    auto selection = makeChunkSelection(scheme);
    auto situation = randomSituation(*selection, rng);
    auto choice = selection->next(situation.input(), rng);
    if (!choice) {
      continue;
    }
    RC_ASSERT(choice->chunk < situation.own.size());
    RC_ASSERT(!situation.own.test(choice->chunk));
    RC_ASSERT(!situation.inFlight.test(choice->chunk));
    if (choice->peer.empty()) {
      RC_ASSERT(situation.originUsable);
      continue;
    }
    auto peer = std::find_if(situation.peers.begin(),
                             situation.peers.end(),
                             [&](const PeerView& aView) { return aView.id == choice->peer; });
    RC_ASSERT(peer != situation.peers.end());
    RC_ASSERT(peer->usable && peer->trusted && peer->have.test(choice->chunk));
  }
}

// Guards against chunks that no VM or several VMs of a region import while all VMs make progress.
RC_BOOST_PROP(exactlyOneImporterForEachChunk, (uint64_t aSeed))
{
  base::Rng rng(aSeed);
  auto selection = makeChunkSelection(Scheme::Swarm);
  Members members{ { "r0", names(1 + base::uniformBelow(rng, 20)) } };
  constexpr uint32_t kChunks = 40;
  std::vector<int> importers(kChunks);
  for (const auto& id : members["r0"]) {
    Situation situation;
    situation.localVm = { id, "r0", "r0", aSeed, 4, 8, 3s };
    situation.members = members;
    situation.own = Bitmap(kChunks);
    situation.inFlight = Bitmap(kChunks);
    for (const auto& peer : selection->neighbours(situation.localVm, members, kChunks)) {
      PeerView view;
      view.id = peer;
      view.region = "r0";
      view.have = Bitmap(kChunks);
      view.lastProgress = kNow;
      situation.peers.push_back(view);
    }
    while (auto choice = selection->next(situation.input(), rng)) {
      RC_ASSERT(choice->peer.empty());
      situation.inFlight.set(choice->chunk);
      ++importers[choice->chunk];
    }
  }
  RC_ASSERT(
    std::all_of(importers.begin(), importers.end(), [](int aCount) { return aCount == 1; }));
}

// Guards against a chunk that stays missing because its importer stalls, and against a takeover
// while the importer makes progress.
BOOST_AUTO_TEST_CASE(nextInOrderTakesOverFromStalledImporter)
{
  base::Rng rng(1);
  auto selection = makeChunkSelection(Scheme::Swarm);
  Situation situation;
  situation.localVm = { "a", "r0", "r0", 7, 4, 8, 3s };
  situation.members = { { "r0", { "a", "b" } } };
  situation.own = Bitmap(20);
  situation.inFlight = Bitmap(20);
  PeerView view;
  view.id = "b";
  view.region = "r0";
  view.have = Bitmap(20);
  view.lastProgress = kNow - 1s;
  situation.peers = { view };
  auto requestAll = [&] {
    situation.inFlight = Bitmap(20);
    while (auto choice = selection->next(situation.input(), rng)) {
      situation.inFlight.set(choice->chunk);
    }
    return situation.inFlight.count();
  };
  uint32_t own = requestAll();
  BOOST_TEST(own > 0);
  BOOST_TEST(own < 20);
  situation.peers[0].lastProgress = kNow - 4s;
  BOOST_TEST(requestAll() == 20);
  situation.peers[0].lastProgress = kNow;
  situation.peers[0].trusted = false;
  BOOST_TEST(requestAll() == 20);
}

// Guards against importers that change for many chunks when one VM joins or leaves.
RC_BOOST_PROP(removedVmDoesNotReorderTheOthers, (uint64_t aKey))
{
  auto ids = names(10);
  auto before = rendezvousOrder(ids, aKey);
  auto removed = before[aKey % before.size()];
  std::erase(ids, removed);
  auto expected = before;
  std::erase(expected, removed);
  RC_ASSERT(rendezvousOrder(ids, aKey) == expected);
}

// Guards against a bitmap that changes when it is encoded and decoded.
RC_BOOST_PROP(bitmapHexRoundTrips, (uint64_t aSeed))
{
  base::Rng rng(aSeed);
  uint32_t size = base::uniformBelow(rng, 300U);
  auto bitmap = randomBitmap(size, rng);
  RC_ASSERT(Bitmap::fromHex(bitmap.toHex(), size) == bitmap);
  uint32_t missing = 0;
  while (missing < size && bitmap.test(missing)) {
    ++missing;
  }
  RC_ASSERT(bitmap.firstMissing() == missing);
}

// Guards against announcements of chunks outside the manifest.
BOOST_AUTO_TEST_CASE(bitmapRejectsPaddingAndLength)
{
  BOOST_TEST(Bitmap::fromHex("07", 3).has_value());
  BOOST_TEST(!Bitmap::fromHex("0f", 3).has_value());
  BOOST_TEST(!Bitmap::fromHex("0700", 3).has_value());
  BOOST_TEST(!Bitmap::fromHex("0g", 8).has_value());
}

// Guards against two manifests with one id, and against a digest computed over the wrong bytes.
RC_BOOST_PROP(manifestIdDependsOnTheContent, (std::vector<uint8_t> aBytes))
{
  RC_PRE(!aBytes.empty());
  auto bytes = std::as_bytes(std::span(aBytes));
  auto manifest = Manifest::fromBytes("m", "v", 4, bytes).value();
  RC_ASSERT(manifest.chunkCount() == (aBytes.size() + 3) / 4);
  RC_ASSERT(manifest.contentDigest() == base::sha256(bytes));
  for (uint32_t i = 0; i < manifest.chunkCount(); ++i) {
    auto chunk = bytes.subspan(manifest.offsetOf(i), manifest.sizeOf(i));
    RC_ASSERT(manifest.verifies(i, chunk));
  }
  auto parsed = Manifest::parseExpecting(manifest.id(), manifest.canonical());
  RC_ASSERT(parsed && parsed->id() == manifest.id());
  ++aBytes[0];
  RC_ASSERT(Manifest::fromBytes("m", "v", 4, bytes)->id() != manifest.id());
}

// Guards against a manifest whose chunk list does not match its size or that exceeds the limits.
BOOST_AUTO_TEST_CASE(manifestLimitsAreChecked)
{
  std::vector<std::byte> bytes(100);
  auto manifest = Manifest::fromBytes("m", "v", 10, bytes).value();
  auto replaced = [&](const std::string& aFrom, const std::string& aTo) {
    auto text = manifest.canonical();
    text.replace(text.find(aFrom), aFrom.size(), aTo);
    return Manifest::parse(text);
  };
  BOOST_TEST(!replaced("\"size\":100", "\"size\":101").has_value());
  BOOST_TEST(!replaced("\"size\":100", "\"size\":0").has_value());
  BOOST_TEST(!replaced("\"chunkSize\":10", "\"chunkSize\":0").has_value());
  BOOST_TEST(!Manifest::parse(manifest.canonical(), { .chunks = 9 }).has_value());
  BOOST_TEST(!Manifest::parse(manifest.canonical(), { .chunkSize = 9 }).has_value());
  BOOST_TEST(!Manifest::parseExpecting(ManifestId{}, manifest.canonical()).has_value());
  BOOST_TEST(!Manifest::fromBytes("m", "v", 10, {}).has_value());
  BOOST_TEST(!Manifest::fromBytes("m", "v", 0, bytes).has_value());
}

// Guards against chunk memory that exceeds its limit while chunks are being sent, or does not free
// what it counted.
RC_BOOST_PROP(chunkMemoryStaysWithinItsLimit, (uint64_t aSeed))
{
  base::Rng rng(aSeed);
  constexpr size_t kLimit = 1000;
  ChunkMemory memory(kLimit);
  std::vector<std::shared_ptr<const ChunkBlock>> inUse;
  for (int step = 0; step < 200; ++step) {
    auto chunk = base::uniformBelow(rng, 20U);
    if (base::uniformBelow(rng, 3) == 0 && !inUse.empty()) {
      inUse.erase(inUse.begin());
    } else if (auto cached = memory.find({}, chunk); cached && base::uniformBelow(rng, 2) == 0) {
      inUse.push_back(cached);
    } else if (auto block = memory.tryReserve(1 + base::uniformBelow(rng, size_t{ 300 }))) {
      memory.addToCache({}, chunk, std::move(block));
    }
    RC_ASSERT(memory.used() <= kLimit);
  }
  memory.removeManifest({});
  inUse.clear();
  RC_ASSERT(memory.used() == 0U);
  RC_ASSERT(memory.peak() <= kLimit);
}

// Guards against polled peers that grow with the number of regions: with five regions an importer
// polled 45 peers, each on a thread of its own.
BOOST_AUTO_TEST_CASE(importersPollFewPeersOfOtherRegions)
{
  constexpr size_t kRegions = 5;
  constexpr size_t kMembers = 28;
  auto selection = makeChunkSelection(Scheme::Swarm);
  Members members;
  for (size_t region = 0; region < kRegions; ++region) {
    for (size_t member = 0; member < kMembers; ++member) {
      members["region-" + std::to_string(region)].push_back("vm-" + std::to_string(region) + "-" +
                                                            std::to_string(member));
    }
  }
  for (const std::string& self : members["region-1"]) {
    LocalVm localVm{ .id = self, .region = "region-1", .originRegion = "region-0" };
    localVm.neighbours = 5;
    localVm.remoteNeighbours = 2;
    auto polled = selection->neighbours(localVm, members, 64);
    BOOST_TEST(polled.size() <= 5 + localVm.importersPerRegion + 2 * (kRegions - 1));
    for (size_t region = 0; region < kRegions; ++region) {
      std::string prefix = "vm-" + std::to_string(region) + "-";
      auto count = std::count_if(polled.begin(), polled.end(), [&](const std::string& aPeer) {
        return aPeer.starts_with(prefix);
      });
      BOOST_TEST(count >= 1, "no peer in region " << region);
    }
  }
}
